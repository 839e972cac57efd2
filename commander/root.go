package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"
)

// The exit codes of clementinectl.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that a check failed, that a process could not be queried, or any other error.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

// programName begins each message on standard error.
const programName = "clementinectl"

// commands lists the commands of the program.
func commands() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
		measureCommand(),
		settingsCommand(),
		configurationCommand(),
		sheetCommand(),
		explainCommand(),
		statusCommand(),
		drainCommand(),
		standinCommand(),
		storyCommand(),
		soakCommand(),
	}
}

// New returns the root command, which writes to stdout and stderr. Its Run method returns an error for a failed
// command instead of ending the process.
func New(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:  programName,
		Usage: "check, monitor and stop the processes of a clementineramp fleet",
		Description: `Exit codes: 0 success, 1 a check failed or a process could not be queried, 2 wrong usage.

Examples:
  clementinectl settings check router.json
  clementinectl sheet check monday.csv
  clementinectl status 10.1.0.1:8082`,
		Commands:  commands(),
		Writer:    stdout,
		ErrWriter: stderr,
		// Run returns the exit code; the default handler would call os.Exit.
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		HideHelpCommand: true,
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and its subcommands return a usageError for an invalid command line.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageError{command: cmd.FullName(), err: err}
	}
	if cmd.Action == nil {
		cmd.Action = requireSubcommand
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

// requireSubcommand is the action of a command that only groups others.
func requireSubcommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usageErrorf(cmd, "unknown command %q", name)
	}
	return usageErrorf(cmd, "a command is missing")
}

// Run runs a command line, program name included, and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := New(stdout, stderr).Run(ctx, args)
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "%s: %v\nSee '%s --help'.\n", usage.command, usage.err, usage.command)
		return ExitUsage
	case errors.Is(err, errReported):
		return ExitFailed
	default:
		fmt.Fprintf(stderr, "%s: %s\n", programName, printable(err.Error()))
		return ExitFailed
	}
}

// errReported is returned by a command that failed and has already printed the reason.
var errReported = errors.New("the command failed")

// usageError is an error in the command line.
type usageError struct {
	command string
	err     error
}

// Error returns the message without the name of the command, which Run prints.
func (e usageError) Error() string {
	return e.err.Error()
}

// usageErrorf returns an error that ends the program with ExitUsage.
func usageErrorf(cmd *cli.Command, format string, args ...any) error {
	return usageError{command: cmd.FullName(), err: fmt.Errorf(format, args...)}
}

// oneArgument returns the only argument of a command.
func oneArgument(cmd *cli.Command, name string) (string, error) {
	if n := cmd.Args().Len(); n != 1 {
		return "", usageErrorf(cmd, "want one argument %s, have %d", name, n)
	}
	return cmd.Args().First(), nil
}

// jsonFlag returns the --json flag.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

// printable returns s, quoted if it contains unprintable characters: text from another process or a file could
// otherwise send control sequences to the terminal.
func printable(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) || r == unicode.ReplacementChar }) {
		return strconv.Quote(s)
	}
	return s
}
