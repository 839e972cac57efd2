package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"clementineramp/compiler"
	"clementineramp/configurer"
)

func sheetCompileCommand() *cli.Command {
	return &cli.Command{
		Name:      "compile",
		Usage:     "write the manifest and parts of a sheet as files named by key",
		ArgsUsage: "FILE...",
		Description: `Writes DIR/config/manifest and DIR/config/part/<digest>; the path below DIR is the key on the platform.
Publish the parts before the manifest, because processes apply a manifest only when they have all its parts.
Files that an earlier compile wrote may be overwritten. If any other file exists at one of the paths,
nothing is written. Parts of earlier sheets are kept.

Examples:
  clementinectl sheet compile monday.csv --output published
  clementinectl sheet compile --json --output published ranks.csv organisations.csv`,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "output", Usage: "write the files to directory `DIR`", Required: true},
		},
		Action: compileSheet,
	}
}

// compileReport is the JSON output of the command.
type compileReport struct {
	Output string       `json:"output"`
	Sheet  sheetSummary `json:"sheet"`
	// Written lists the files that were missing or different, in the order of publication.
	Written []string `json:"written"`
	Warning string   `json:"warning,omitempty"`
}

func compileSheet(_ context.Context, cmd *cli.Command) error {
	files, err := atLeastOneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	dir := cmd.String("output")
	if dir == "" {
		return usageErrorf(cmd, "--output is empty")
	}
	sheet, err := compileAndReport(cmd, files...)
	if err != nil {
		return err
	}
	outputs := sheetOutputs(sheet)
	var stale []output
	warning := ""
	// All existing files are checked before the first one is written, so that an error leaves the directory unchanged.
	for _, o := range outputs {
		old, err := o.readExisting(dir)
		if err != nil {
			return err
		}
		if o.key == configurer.ManifestKey {
			warning = versionWarning(old, sheet)
		}
		if !bytes.Equal(old, o.data) {
			stale = append(stale, o)
		}
	}
	report := compileReport{Output: dir, Sheet: summarise(sheet), Written: []string{}, Warning: warning}
	for _, o := range stale {
		if err := o.write(dir); err != nil {
			return err
		}
		report.Written = append(report.Written, o.path(dir))
	}
	if cmd.Bool("json") {
		return printJSON(cmd, report)
	}
	for _, path := range report.Written {
		fmt.Fprintln(cmd.Root().Writer, "wrote", path)
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: %v\n", dir, report.Sheet)
	if warning != "" {
		fmt.Fprintln(cmd.Root().ErrWriter, "warning:", warning)
	}
	return nil
}

// output is one file of a compiled sheet.
type output struct {
	key  string
	data []byte
}

// sheetOutputs returns the files in the order of publication: a manifest must not precede its parts.
func sheetOutputs(sheet *compiler.Sheet) []output {
	var outputs []output
	for _, p := range sheet.Parts {
		outputs = append(outputs, output{configurer.PartKey(p.Digest), p.Data})
	}
	return append(outputs, output{configurer.ManifestKey, sheet.Manifest})
}

func (o output) path(dir string) string {
	return filepath.Join(dir, filepath.FromSlash(o.key))
}

// readExisting returns the current content of the file, nil if the file does not exist, and an error if it was not
// written by this command.
func (o output) readExisting(dir string) ([]byte, error) {
	path := o.path(dir)
	info, err := os.Lstat(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !info.Mode().IsRegular() {
		return nil, trace.AlreadyExists("%s exists and is not a regular file; nothing was written", path)
	}
	data, err := readInput(path)
	if err != nil {
		return nil, err
	}
	if o.key == configurer.ManifestKey && isManifest(data) || bytes.Equal(data, o.data) {
		return data, nil
	}
	return nil, trace.AlreadyExists("%s exists and was not written by sheet compile; nothing was written", path)
}

// isManifest reports whether data is a manifest exactly as the compiler encodes it.
func isManifest(data []byte) bool {
	m, err := configurer.DecodeManifest(data)
	if err != nil {
		return false
	}
	encoded, err := json.Marshal(m)
	return err == nil && bytes.Equal(encoded, data)
}

// versionWarning returns a warning if processes that have the old manifest will not apply the new one, or "".
func versionWarning(old []byte, sheet *compiler.Sheet) string {
	if old == nil || bytes.Equal(old, sheet.Manifest) {
		return ""
	}
	m, err := configurer.DecodeManifest(old)
	if err != nil || m.Version < sheet.Version {
		return ""
	}
	return fmt.Sprintf("version %d is not above version %d of the manifest that it replaces; processes keep the higher version",
		sheet.Version, m.Version)
}

// write replaces the file atomically, so that a reader never sees incomplete content.
func (o output) write(dir string) error {
	path := o.path(dir)
	parent := filepath.Dir(path)
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	f, err := os.CreateTemp(parent, ".compile-*")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(o.data)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return trace.ConvertSystemError(err)
}

// splitLines splits text into lines; it ignores one newline at the end.
func splitLines(text string) []string {
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
