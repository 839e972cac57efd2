package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"clementineramp/loader"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:     "settings",
		Usage:    "work with the settings file of a process",
		Commands: []*cli.Command{settingsCheckCommand()},
	}
}

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file without starting a process",
		ArgsUsage: "FILE",
		Description: `Reports each error with its line, column, field and allowed values.
The environment variable named by shared_key_env is not read.

Examples:
  clementinectl settings check router.json
  clementinectl settings check --effective router.json
  clementinectl settings check --json router.json
  clementinectl settings check --gateway gateway.json`,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.BoolFlag{Name: "gateway", Usage: "check the settings of a gateway"},
			&cli.BoolFlag{Name: "effective", Usage: "print the effective settings, with defaults and without secrets"},
		},
		Action: checkSettings,
	}
}

// settingsReport is the JSON output of the command.
type settingsReport struct {
	File     string          `json:"file"`
	OK       bool            `json:"ok"`
	Problems loader.Problems `json:"problems"`
	// Settings holds the effective settings; it is absent if the file has an error.
	Settings json.RawMessage `json:"settings,omitempty"`
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	file, err := oneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	effective, summary, err := loadSettings(file, cmd.Bool("gateway"))
	var problems loader.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if cmd.Bool("json") {
		return printSettingsReport(cmd, file, effective, problems)
	}
	out := cmd.Root().Writer
	if err != nil {
		fmt.Fprintln(cmd.Root().ErrWriter, problems)
		return errReported
	}
	if cmd.Bool("effective") {
		fmt.Fprintln(out, effective)
		return nil
	}
	fmt.Fprintf(out, "%s: ok, %s\n", file, summary)
	return nil
}

// loadSettings returns the effective settings as JSON, and the role and name of the process.
func loadSettings(file string, gateway bool) (effective, summary string, err error) {
	if gateway {
		s, err := loader.CheckGateway(file)
		if err != nil {
			return "", "", err
		}
		return s.Effective(), "gateway " + s.Name, nil
	}
	s, err := loader.Check(file)
	if err != nil {
		return "", "", err
	}
	return s.Effective(), string(s.Role) + " " + s.Name, nil
}

func printSettingsReport(cmd *cli.Command, file string, effective string, problems loader.Problems) error {
	report := settingsReport{File: file, OK: len(problems) == 0, Problems: problems}
	if report.OK {
		report.Problems = loader.Problems{}
		report.Settings = json.RawMessage(effective)
	}
	if err := printJSON(cmd, report); err != nil {
		return err
	}
	if !report.OK {
		return errReported
	}
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON[T any](cmd *cli.Command, v T) error {
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}
