package commander

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// maxLogLine is the maximum length of a log line in bytes; the logger writes shorter lines.
const maxLogLine = 64 << 10

func storyCommand() *cli.Command {
	return &cli.Command{
		Name:      "story",
		Usage:     "print the log lines of one request in order of time",
		ArgsUsage: "REQUEST [FILE...]",
		Description: `Reads the log files of any number of processes, or standard input if no file is given, and prints the lines
with the request's id, each with the name of its file. Lines of one file keep their order; the order of lines of
different files can be wrong, because the clocks of hosts differ. Exit code 1 if no line is found. Not every
successful request is logged: ordinary successes are sampled.

Examples:
  clementinectl story 9c41d07be2a35f68 gateway-1.log gateway-2.log
  clementinectl story 9c41d07be2a35f68 < all.log`,
		Action: printStory,
	}
}

// logLine is one line of a log.
type logLine struct {
	file string
	// time is the time of the line, or that of the preceding line of the same file if that is later.
	time time.Time
	text string
}

func printStory(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) == 0 {
		return usageErrorf(cmd, "want a request id and any number of files")
	}
	var story []logLine
	if len(args) == 1 {
		lines, err := requestLines(args[0], "-", os.Stdin)
		if err != nil {
			return err
		}
		story = lines
	}
	for _, name := range args[1:] {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		lines, err := requestLines(args[0], name, f)
		_ = f.Close() // The file was only read.
		if err != nil {
			return err
		}
		story = append(story, lines...)
	}
	if len(story) == 0 {
		return fmt.Errorf("no line about request %s; of ordinary successes only a sample is logged", args[0])
	}
	slices.SortStableFunc(story, func(a, b logLine) int {
		return a.time.Compare(b.time)
	})
	for _, l := range story {
		fmt.Fprintf(cmd.Root().Writer, "%s: %s\n", l.file, l.text)
	}
	return nil
}

// requestLines returns the lines of a log whose request field is id; it leaves out lines longer than maxLogLine.
func requestLines(id, file string, r io.Reader) ([]logLine, error) {
	// The field must begin a word outside quoted values; quotes within a quoted value are escaped.
	field := regexp.MustCompile(`^(?:[^"]|"(?:\\.|[^"\\])*")* request="?` + regexp.QuoteMeta(id) + `"?(?: |$)`)
	var lines []logLine
	br := bufio.NewReaderSize(r, maxLogLine)
	tooLong := false
	for {
		b, isPrefix, err := br.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		// A line that is longer than the buffer comes in pieces; the logger does not write such lines.
		skip := tooLong || isPrefix
		tooLong = isPrefix
		if skip || !field.Match(b) {
			continue
		}
		line := logLine{file: file, text: string(b)}
		if _, rest, ok := strings.Cut(line.text, "time="); ok {
			stamp, _, _ := strings.Cut(rest, " ")
			if t, err := time.Parse(time.RFC3339Nano, stamp); err == nil {
				line.time = t
			}
			if n := len(lines); n > 0 && line.time.Before(lines[n-1].time) {
				line.time = lines[n-1].time // Keeps the order of the file if the clock was set back.
			}
		}
		lines = append(lines, line)
	}
}
