package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/settings"
)

// The kinds of files that can be checked.
const (
	kindAuto       = "auto"
	kindConfig     = "config"
	kindInstances  = "instances"
	kindGateway    = "gateway"
	kindController = "controller"
)

var checkKinds = []string{kindAuto, kindConfig, kindInstances, kindGateway, kindController}

const checkDescription = `Validates each file by the rules of an instance and prints every finding as
FILE:LINE:COLUMN: FIELD: MESSAGE. The exit code is 0 if no file has findings, otherwise 1.

KIND is one of:
  auto        detected from the content of each file (the default)
  config      configuration document that operators publish
  instances   instance list of the platform
  gateway     settings of a gateway
  controller  settings of a controller

Examples:
  acaciactl check config.yaml
  acaciactl check examples/vanua/*.yaml examples/vanua/settings/*.yaml
  acaciactl check --kind config draft.yaml

With --configuration, it checks the operators' configuration document of the platform (JSON) instead, before it is published, and prints
FILE: SEVERITY: PLACE: MESSAGE. Errors are rejected by instances or contradict each other; warnings are entries without effect and limits
that contradict each other. With --in-force it also prints what differs from the version in force; keys are only counted. The exit code
is 1 if there is an error.

Examples:
  acaciactl check --configuration next.json
  acaciactl check --configuration next.json --in-force current.json`

// errFindings makes the command fail after it has printed the findings.
var errFindings = errors.New("some files are invalid or could not be read")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "validate configuration documents, instance lists and settings",
		ArgsUsage:   "FILE... | --configuration FILE [--in-force FILE]",
		Description: checkDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Aliases: []string{"k"}, Value: kindAuto, Usage: "`KIND` of the files"},
			&cli.StringFlag{Name: "configuration", Usage: "check the configuration document of the platform in `FILE`"},
			&cli.StringFlag{Name: "in-force", Usage: "compare it with the document in force in `FILE`"},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if c.IsSet("configuration") || c.IsSet("in-force") {
		return runCheckConfiguration(c)
	}
	kind := c.String("kind")
	if !slices.Contains(checkKinds, kind) {
		return fmt.Errorf("unknown kind %q; valid kinds are %s", kind, strings.Join(checkKinds, ", "))
	}
	if c.NArg() == 0 {
		return errors.New("no files given; see acaciactl check --help")
	}
	failed := false
	for _, file := range c.Args().Slice() {
		if !checkFile(c.Root().Writer, file, kind) {
			failed = true
		}
	}
	if failed {
		return errFindings
	}
	return nil
}

func runCheckConfiguration(c *cli.Command) error {
	switch {
	case c.String("configuration") == "":
		return errors.New("--in-force needs --configuration; see acaciactl check --help")
	case c.NArg() > 0 || c.IsSet("kind"):
		return errors.New("--configuration takes no further files and no kind; see acaciactl check --help")
	}
	valid, err := checkConfiguration(c.Root().Writer, c.String("configuration"), c.String("in-force"))
	if err == nil && !valid {
		err = errFindings
	}
	return err
}

// checkFile validates one file, prints the result and reports whether the file is valid.
func checkFile(out io.Writer, file, kind string) bool {
	data, err := os.ReadFile(file)
	if err == nil {
		if kind == kindAuto {
			kind = detectKind(data)
		}
		err = parseAs(kind, file, data)
	}
	if err != nil {
		fmt.Fprintln(out, err)
		return false
	}
	fmt.Fprintf(out, "%s: ok (%s)\n", file, kind)
	return true
}

func parseAs(kind, file string, data []byte) error {
	var err error
	switch kind {
	case kindInstances:
		_, err = config.ParseInstancesFile(file, data)
	case kindGateway:
		_, err = settings.ParseGateway(file, data)
	case kindController:
		_, err = settings.ParseController(file, data)
	default:
		_, err = config.ParseFile(file, data)
	}
	return err
}

// detectKind detects the kind of a file from fields that only one kind has. The default, also for a file that is not YAML,
// is a configuration document.
func detectKind(data []byte) string {
	if len(data) > config.MaxDocumentBytes {
		return kindConfig
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil || len(document.Content) != 1 {
		return kindConfig
	}
	root := document.Content[0]
	switch {
	case hasField(root, "instances"):
		return kindInstances
	case hasField(root, "instance") && (hasField(root, "platform") || hasField(root, "list_lag_bound")):
		return kindController
	case hasField(root, "instance"):
		return kindGateway
	default:
		return kindConfig
	}
}

func hasField(node *yaml.Node, name string) bool {
	if node.Kind != yaml.MappingNode {
		return false
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return true
		}
	}
	return false
}
