package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/emulator"
)

// emulateCommand returns "acacia-lab emulate", which runs load patterns on emulated engines with each placement policy.
func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run load patterns on emulated engines in virtual time and compare placement policies",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "number of seeds for each pattern and policy"},
			&cli.StringFlag{Name: "only", Usage: "run only this policy"},
		},
		Action: emulate,
	}
}

var policies = []struct {
	name   string
	policy emulator.Policy
}{
	{"ours", emulator.PlannerPolicy},
	{"least-requests", emulator.LeastRequests},
	{"random-two", emulator.RandomTwo},
}

func emulate(_ context.Context, cmd *cli.Command) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table,
		"pattern\tpolicy\tvalue\tprefill\tkind\trequests\ton time\tlate\tnot served\tvalue\tlargest tenth served")
	for _, pattern := range emulator.Patterns() {
		for _, p := range policies {
			if only := cmd.String("only"); only != "" && only != p.name {
				continue
			}
			sum := emulator.RunSeeds(pattern, p.policy, cmd.Int("seeds"))
			for _, name := range []string{"short", "middle", "long"} {
				k := sum.Kinds[name]
				fmt.Fprintf(table, "%s\t%s\t%.3f\t%.2f\t%s\t%d\t%d\t%d\t%d\t%.3f\t%d/%d\n", pattern.Name, p.name, sum.Value, sum.PrefillFraction,
					name, k.Requests, k.OnTime, k.Late, k.NotServed, k.Earned/k.MaxEarned, k.LargeServed, k.LargeRequests)
			}
		}
	}
	return table.Flush()
}
