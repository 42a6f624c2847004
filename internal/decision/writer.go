package decision

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// queuedLines is how many lines wait for a slow reader before lines are dropped.
const queuedLines = 1024

// Writer writes lines from a goroutine of its own and drops those for which the
// reader has no room, so that no request waits for a log. Out is set before the
// first use.
type Writer struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter starts a writer.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{Out: out, lines: make(chan []byte, queuedLines)}
	go writer.run()
	return writer
}

// WriteEntry queues a line, or drops it.
func (writer *Writer) WriteEntry(entry *log.Entry) (int, error) {
	line := append([]byte(nil), entry.Value()...)
	select {
	case writer.lines <- line:
		return len(line), nil
	default:
		writer.dropped.Add(1)
		return 0, nil
	}
}

// Dropped counts the lines that were dropped.
func (writer *Writer) Dropped() uint64 {
	return writer.dropped.Load()
}

func (writer *Writer) run() {
	for line := range writer.lines {
		// A log that cannot be written has nowhere to say so.
		_, _ = writer.Out.Write(line)
	}
}
