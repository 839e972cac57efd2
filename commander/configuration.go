package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"clementineramp/platform"
)

func configurationCommand() *cli.Command {
	return &cli.Command{
		Name:     "configuration",
		Usage:    "work with the configuration that gateways read from the store",
		Commands: []*cli.Command{configurationCheckCommand()},
	}
}

func configurationCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration without publishing it",
		ArgsUsage: "FILE",
		Description: `Decodes the file as the gateways do. Reports each error with its line and column, and warns of entries that
never match and of limits that contradict each other. With --against it lists the differences from the
version in force: lines begin with + for an added entry, - for a removed and ~ for a changed one. Keys are
counted and not shown. Warnings and differences do not affect the exit code.

Examples:
  clementinectl configuration check next.json
  clementinectl configuration check next.json --against current.json
  clementinectl configuration check --json next.json`,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "against", Usage: "list the differences from this configuration", TakesFile: true},
		},
		Action: checkConfiguration,
	}
}

// configurationReport is the JSON output of the command.
type configurationReport struct {
	File     string             `json:"file"`
	OK       bool               `json:"ok"`
	Findings []platform.Finding `json:"findings"`
	// Summary is absent if the file has an error, and Differences unless the file is compared with another one.
	Summary     *platform.Summary `json:"summary,omitempty"`
	Differences *[]string         `json:"differences,omitempty"`
}

func checkConfiguration(_ context.Context, cmd *cli.Command) error {
	file, err := oneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	data, err := readInput(file)
	if err != nil {
		return err
	}
	findings, summary, ok := platform.CheckConfiguration(data)
	report := configurationReport{File: file, OK: ok, Findings: append([]platform.Finding{}, findings...)}
	if ok {
		report.Summary = &summary
	}
	if against := cmd.String("against"); ok && against != "" {
		older, err := readInput(against)
		if err != nil {
			return err
		}
		oldFindings, inForce, ok := platform.CheckConfiguration(older)
		if !ok {
			printFindings(cmd.Root().ErrWriter, against, oldFindings)
			return errReported
		}
		lines, err := platform.CompareConfigurations(older, data)
		if err != nil {
			return err
		}
		if len(lines) > 0 && summary.Version <= inForce.Version {
			lines = append(lines, fmt.Sprintf("! version %d is not above %d: gateways do not adopt it", summary.Version, inForce.Version))
		}
		differences := append([]string{}, lines...)
		report.Differences = &differences
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd, report); err != nil {
			return err
		}
	} else {
		printConfigurationReport(cmd, report)
	}
	if !report.OK {
		return errReported
	}
	return nil
}

// printConfigurationReport prints errors to standard error, and the rest to standard output.
func printConfigurationReport(cmd *cli.Command, report configurationReport) {
	out := cmd.Root().Writer
	if !report.OK {
		printFindings(cmd.Root().ErrWriter, report.File, report.Findings)
		return
	}
	printFindings(out, report.File, report.Findings)
	s := report.Summary
	fmt.Fprintf(out, "%s: ok, version %d, routes %d, services %d, organisations %d, keys %d, warnings %d\n",
		report.File, s.Version, s.Routes, s.Services, s.Organisations, s.Keys, len(report.Findings))
	if report.Differences == nil {
		return
	}
	if len(*report.Differences) == 0 {
		fmt.Fprintln(out, "no differences")
	}
	for _, line := range *report.Differences {
		fmt.Fprintln(out, printable(line))
	}
}

// printFindings prints one finding a line, each with file, line and column.
func printFindings(w io.Writer, file string, findings []platform.Finding) {
	for _, f := range findings {
		text := f.Message
		if f.Path != "" {
			text = f.Path + ": " + text
		}
		if f.Warning {
			text = "warning: " + text
		}
		fmt.Fprintf(w, "%s:%d:%d: %s\n", file, f.Line, f.Column, printable(text))
	}
}
