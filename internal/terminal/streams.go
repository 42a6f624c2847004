// Package terminal is the operators' side of the command line programs: their
// streams, colour, aligned tables and JSON output.
//
// On a terminal a table has a header, aligned columns and colour. In a pipe
// the same table is one line a row with a tab between the cells and neither
// header nor colour, so that scripts can cut it.
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
// A command with a flag `--json FIELDS` writes its rows by [WriteFields].
package terminal

import (
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"golang.org/x/sys/unix"
)

const defaultWidth = 80

// Streams are the input and outputs of a command. A test sets the fields to
// buffers.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer

	// OutTerminal and ErrTerminal tell whether the stream is shown to a person.
	OutTerminal bool
	ErrTerminal bool
	// Color says whether to colour what is shown on a terminal.
	Color bool
	// Width is the width of the terminal in columns; zero means 80.
	Width int
}

// System gives the streams of the process. The variable NO_COLOR turns colour
// off, as described on no-color.org.
func System() *Streams {
	_, plain := os.LookupEnv("NO_COLOR")
	outTerminal := isatty.IsTerminal(os.Stdout.Fd())
	return &Streams{
		In:          os.Stdin,
		Out:         os.Stdout,
		Err:         os.Stderr,
		OutTerminal: outTerminal,
		ErrTerminal: isatty.IsTerminal(os.Stderr.Fd()),
		Color:       outTerminal && !plain && os.Getenv("TERM") != "dumb",
		Width:       widthOf(os.Stdout),
	}
}

func widthOf(file *os.File) int {
	size, err := unix.IoctlGetWinsize(int(file.Fd()), unix.TIOCGWINSZ)
	if err != nil || size.Col == 0 {
		return defaultWidth
	}
	return int(size.Col)
}

// Printf writes to the output.
func (streams *Streams) Printf(format string, values ...any) {
	_, _ = fmt.Fprintf(streams.Out, format, values...)
}

// Errorf writes a line to the error stream.
func (streams *Streams) Errorf(format string, values ...any) {
	_, _ = fmt.Fprintf(streams.Err, format+"\n", values...)
}

// Progressf writes a line on the course of a long command to the error
// stream, so that the output holds the result alone.
func (streams *Streams) Progressf(format string, values ...any) {
	streams.Errorf("%s", streams.Grey(fmt.Sprintf(format, values...)))
}
