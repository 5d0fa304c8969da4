package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/logline"
)

// explainCommand returns "acaciactl explain", which fails if no log contains the request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log events of one request from the logs of gateways and controllers, in order of time",
		ArgsUsage: "REQUEST_ID LOGFILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			arguments := cmd.Args().Slice()
			if len(arguments) < 2 || arguments[0] == "" {
				return errors.New("a request ID and at least one log file are required")
			}
			history := logline.History{RequestID: arguments[0]}
			for _, path := range arguments[1:] {
				if err := addLog(&history, path); err != nil {
					return err
				}
			}
			if len(history.Events) == 0 {
				return fmt.Errorf("no log contains an event of request %s", history.RequestID)
			}
			history.Sort()
			return history.WriteTable(cmd.Root().Writer)
		},
	}
}

func addLog(history *logline.History, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return history.Add(filepath.Base(path), file)
}
