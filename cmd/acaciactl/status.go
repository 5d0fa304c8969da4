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
		Usage: "show the state of all instances",
		Description: "Prints for each instance the revision in force, endpoint states with the age of their load reports,\n" +
			"owners, credits, refusals by reason, and time to first token by length class.\n\n" +
			"Example: acaciactl status --instances examples/vanua/instances.yaml --key demo-operators-key",
		Flags:  operatorsFlags(),
		Action: showStatus,
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start a graceful shutdown of one instance",
		Description: "The instance announces that it is leaving, accepts requests for the balancer lag, then refuses new ones,\n" +
			"and exits when its requests are complete.\n\n" +
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
	responses := operators.NewClient(command.String("key")).StatusOfAll(ctx, instances)
	if err := operators.WriteTables(command.Root().Writer, responses); err != nil {
		return err
	}
	for _, response := range responses {
		if response.Err != nil {
			return cli.Exit("not all instances responded", 1)
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
	return cli.Exit("the instance list does not contain "+name, 1)
}
