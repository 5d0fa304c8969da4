package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/operators"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what is in force on every instance",
		Description: "Prints for each instance the revision in force, endpoint states with the age of the evidence,\n" +
			"owners, credits, refusals by reason, and time to first token by length class.\n\n" +
			"Example: acaciactl status --instances examples/vanua/instances.yaml --key demo-operators-key",
		Flags:  operatorsFlags(),
		Action: showStatus,
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start a planned stop of one instance",
		Description: "The instance announces that it leaves, goes on for the balancer's lag, refuses new work after it,\n" +
			"and ends when its requests have ended.\n\n" +
			"Example: acaciactl drain --instances examples/vanua/instances.yaml --key demo-operators-key nadi-1",
		ArgsUsage: "INSTANCE",
		Flags:     operatorsFlags(),
		Action:    startDrain,
	}
}

func operatorsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "instances", Usage: "instance list `FILE` in YAML", Required: true},
		&cli.StringFlag{
			Name: "key", Usage: "bearer `KEY` of the operators' API", Sources: cli.EnvVars("ACACIA_OPERATORS_KEY"),
		},
	}
}

func loadInstances(command *cli.Command) ([]config.Instance, error) {
	data, err := os.ReadFile(command.String("instances"))
	if err != nil {
		return nil, err
	}
	list, err := config.ParseInstances(data)
	if err != nil {
		return nil, err
	}
	return list.Instances, nil
}

func showStatus(ctx context.Context, command *cli.Command) error {
	instances, err := loadInstances(command)
	if err != nil {
		return err
	}
	answers := operators.NewClient(command.String("key")).StatusOfAll(ctx, instances)
	if err := operators.WriteTables(command.Root().Writer, answers); err != nil {
		return err
	}
	for _, answer := range answers {
		if answer.Err != nil {
			return cli.Exit("not all instances answered", 1)
		}
	}
	return nil
}

func startDrain(ctx context.Context, command *cli.Command) error {
	instances, err := loadInstances(command)
	if err != nil {
		return err
	}
	name := command.Args().First()
	for _, instance := range instances {
		if instance.Name == name {
			return operators.NewClient(command.String("key")).Drain(ctx, instance.OperatorsAddress)
		}
	}
	return cli.Exit("the instance list does not name "+name, 1)
}
