package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"clementineramp/compiler"
	"clementineramp/configurer"
)

// maxInputBytes is the maximum size of an input file; a sheet of 14,000 organisations takes about 2 MB.
const maxInputBytes = 64 << 20

func sheetCommand() *cli.Command {
	return &cli.Command{
		Name:     "sheet",
		Usage:    "work with the sheet that configures a fleet",
		Commands: []*cli.Command{sheetCheckCommand(), sheetDiffCommand(), sheetCompileCommand()},
	}
}

func sheetCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a sheet without publishing it",
		ArgsUsage: "FILE...",
		Description: `The files together form one sheet. A directory stands for the CSV files in it.
Reports each error with its file, line and field, and with the allowed values or the most similar known word.

Examples:
  clementinectl sheet check monday.csv
  clementinectl sheet check ranks.csv organisations.csv
  clementinectl sheet check --json monday.csv`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: checkSheet,
	}
}

func sheetDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what changes from one sheet to another",
		ArgsUsage: "OLD NEW",
		Description: `OLD and NEW are each a CSV file or a directory of CSV files. Lines begin with + for an added row, - for
a removed row and ~ for a changed row. Differences do not affect the exit code.

Examples:
  clementinectl sheet diff sunday.csv monday.csv
  clementinectl sheet diff --json sunday monday`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: diffSheets,
	}
}

// sheetProblem is the JSON form of one error in a sheet.
type sheetProblem struct {
	File string `json:"file,omitempty"`
	// Line counts from 1; it is absent if the error concerns the sheet as a whole.
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// sheetPart is the JSON form of one part of a compiled sheet.
type sheetPart struct {
	Name   string            `json:"name"`
	Digest configurer.Digest `json:"digest"`
	Bytes  int               `json:"bytes"`
}

// sheetSummary describes a valid sheet.
type sheetSummary struct {
	Version       uint64            `json:"version"`
	Digest        configurer.Digest `json:"digest"`
	Ranks         int               `json:"ranks"`
	Pools         int               `json:"pools"`
	Services      int               `json:"services"`
	Organisations int               `json:"organisations"`
	Accounts      int               `json:"accounts"`
	ManifestBytes int               `json:"manifest_bytes"`
	Parts         []sheetPart       `json:"parts"`
}

// sheetReport is the JSON output of the check command.
type sheetReport struct {
	Files    []string       `json:"files"`
	OK       bool           `json:"ok"`
	Problems []sheetProblem `json:"problems"`
	// Sheet is absent if a file has an error.
	Sheet *sheetSummary `json:"sheet,omitempty"`
}

func summarise(s *compiler.Sheet) sheetSummary {
	sum := sheetSummary{
		Version: s.Version, Digest: s.Digest,
		Ranks: len(s.Rows.Ranks), Pools: len(s.Rows.Pools), Services: len(s.Rows.Services),
		Organisations: len(s.Rows.Organisations), Accounts: len(s.Rows.Accounts),
		ManifestBytes: len(s.Manifest),
	}
	for _, p := range s.Parts {
		sum.Parts = append(sum.Parts, sheetPart{p.Name, p.Digest, len(p.Data)})
	}
	return sum
}

// partBytes returns the total size of all parts.
func (s sheetSummary) partBytes() int {
	n := 0
	for _, p := range s.Parts {
		n += p.Bytes
	}
	return n
}

// String returns the summary in one line.
func (s sheetSummary) String() string {
	return fmt.Sprintf("version %d, ranks %d, pools %d, services %d, organisations %d, accounts %d; manifest %d bytes, %d parts with %d bytes",
		s.Version, s.Ranks, s.Pools, s.Services, s.Organisations, s.Accounts, s.ManifestBytes, len(s.Parts), s.partBytes())
}

func checkSheet(_ context.Context, cmd *cli.Command) error {
	files, err := atLeastOneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	sheet, err := compileFiles(files...)
	var errs compiler.Errors
	if err != nil && !errors.As(err, &errs) {
		return err
	}
	if !cmd.Bool("json") {
		if err != nil {
			return printErrors(cmd, errs)
		}
		fmt.Fprintf(cmd.Root().Writer, "ok, %v\n", summarise(sheet))
		return nil
	}
	report := sheetReport{Files: files, OK: err == nil, Problems: []sheetProblem{}}
	for _, f := range errs {
		report.Problems = append(report.Problems, sheetProblem(f))
	}
	if report.OK {
		sum := summarise(sheet)
		report.Sheet = &sum
	}
	if err := printJSON(cmd, report); err != nil {
		return err
	}
	if !report.OK {
		return errReported
	}
	return nil
}

// sheetDiff is the JSON output of the diff command.
type sheetDiff struct {
	Old sheetSummary `json:"old"`
	New sheetSummary `json:"new"`
	// Lines holds the lines of the text output.
	Lines []string `json:"lines"`
	// NewParts lists the parts of the new sheet that the old one does not have.
	NewParts []sheetPart `json:"moved"`
}

func diffSheets(_ context.Context, cmd *cli.Command) error {
	if n := cmd.Args().Len(); n != 2 {
		return usageErrorf(cmd, "want two arguments OLD NEW, have %d", n)
	}
	older, err := compileAndReport(cmd, cmd.Args().Get(0))
	if err != nil {
		return err
	}
	newer, err := compileAndReport(cmd, cmd.Args().Get(1))
	if err != nil {
		return err
	}
	text := compiler.Diff(older, newer)
	if !cmd.Bool("json") {
		fmt.Fprint(cmd.Root().Writer, text)
		return nil
	}
	diff := sheetDiff{Old: summarise(older), New: summarise(newer), Lines: splitLines(text), NewParts: []sheetPart{}}
	for _, p := range diff.New.Parts {
		if _, ok := older.Part(p.Digest); !ok {
			diff.NewParts = append(diff.NewParts, p)
		}
	}
	return printJSON(cmd, diff)
}

// atLeastOneArgument returns all arguments of a command, or a usage error if there are none.
func atLeastOneArgument(cmd *cli.Command, name string) ([]string, error) {
	if cmd.Args().Len() == 0 {
		return nil, usageErrorf(cmd, "want one or more arguments %s, have 0", name)
	}
	return cmd.Args().Slice(), nil
}

// compileFiles compiles the sheet that the files and directories form. The error of an invalid sheet is a
// compiler.Errors.
func compileFiles(paths ...string) (*compiler.Sheet, error) {
	var sources []compiler.Source
	for _, path := range paths {
		files, err := sheetFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			data, err := readInput(file)
			if err != nil {
				return nil, err
			}
			sources = append(sources, compiler.Source{Name: file, Data: data})
		}
	}
	return compiler.Compile(sources...)
}

// compileAndReport compiles files as compileFiles does, but prints the errors of an invalid sheet and returns
// errReported for them.
func compileAndReport(cmd *cli.Command, paths ...string) (*compiler.Sheet, error) {
	sheet, err := compileFiles(paths...)
	var errs compiler.Errors
	if errors.As(err, &errs) {
		return nil, printErrors(cmd, errs)
	}
	return sheet, err
}

func printErrors(cmd *cli.Command, errs compiler.Errors) error {
	for _, f := range errs {
		fmt.Fprintln(cmd.Root().ErrWriter, printable(f.Error()))
	}
	return errReported
}

// sheetFiles returns path if it is a file, or the CSV files of the directory path in the order of their names.
func sheetFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var files []string
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == ".csv" {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, trace.NotFound("directory %s contains no file with the extension .csv", path)
	}
	return files, nil
}

// readInput reads a file of at most maxInputBytes.
func readInput(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxInputBytes+1))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(data) > maxInputBytes {
		return nil, trace.LimitExceeded("%s has more than %d bytes", path, maxInputBytes)
	}
	return data, nil
}
