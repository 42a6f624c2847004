package decision

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// maxQueuedLines is how many lines wait for a slow output before lines are dropped.
const maxQueuedLines = 1024

// Writer writes lines from its own goroutine and drops lines when its queue is full,
// so that no request waits for a log. Out is set before the first use.
type Writer struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer to an output and starts its goroutine, which never ends.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{Out: out, lines: make(chan []byte, maxQueuedLines)}
	go writer.run()
	return writer
}

// WriteEntry queues a line. If the queue is full, it drops the line and returns 0
// without an error.
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

// Dropped returns the number of dropped lines.
func (writer *Writer) Dropped() uint64 {
	return writer.dropped.Load()
}

func (writer *Writer) run() {
	for line := range writer.lines {
		// There is nowhere to report that the log cannot be written.
		_, _ = writer.Out.Write(line)
	}
}
