// Package terminal is the input and output of the command line programs: standard
// streams, colour, tables and JSON.
//
// On a terminal a table has a header, aligned columns and colour. Otherwise it has
// one line per row with tabs between the cells and neither header nor colour, so
// that scripts can parse it. The types are not safe for concurrent use.
//
// # Usage
//
//	streams := terminal.System()
//	table := terminal.Table{Streams: streams, Header: []string{"NODE", "REGION"}}
//	table.Add("agenda-1", "norte")
//	if err := table.Render(); err != nil {
//		return err
//	}
//
// A command with a flag `--json FIELDS` writes its rows with [WriteFields].
package terminal

import (
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"golang.org/x/sys/unix"
)

const defaultWidthColumns = 80

// Streams are the standard streams of a command. Tests set the fields to buffers.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer

	// OutTerminal and ErrTerminal tell whether the stream is a terminal.
	OutTerminal bool
	ErrTerminal bool
	// Color enables colours and styles.
	Color bool
	// Width is the width of the terminal in columns; zero means 80.
	Width int
}

// System returns the streams of the process. The environment variable NO_COLOR
// disables colour, as described on no-color.org.
func System() *Streams {
	_, noColor := os.LookupEnv("NO_COLOR")
	outTerminal := isatty.IsTerminal(os.Stdout.Fd())
	return &Streams{
		In:          os.Stdin,
		Out:         os.Stdout,
		Err:         os.Stderr,
		OutTerminal: outTerminal,
		ErrTerminal: isatty.IsTerminal(os.Stderr.Fd()),
		Color:       outTerminal && !noColor && os.Getenv("TERM") != "dumb",
		Width:       terminalWidth(os.Stdout),
	}
}

func terminalWidth(file *os.File) int {
	size, err := unix.IoctlGetWinsize(int(file.Fd()), unix.TIOCGWINSZ)
	if err != nil || size.Col == 0 {
		return defaultWidthColumns
	}
	return int(size.Col)
}

// Printf writes to the output stream.
func (streams *Streams) Printf(format string, values ...any) {
	_, _ = fmt.Fprintf(streams.Out, format, values...)
}

// Errorf writes a line to the error stream.
func (streams *Streams) Errorf(format string, values ...any) {
	_, _ = fmt.Fprintf(streams.Err, format+"\n", values...)
}

// Progressf writes a line about the progress of a long command to the error
// stream, so that the output stream holds the result only.
func (streams *Streams) Progressf(format string, values ...any) {
	streams.Errorf("%s", streams.Grey(fmt.Sprintf(format, values...)))
}
