package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with the seconds since the start
// of the case.
type record struct {
	began time.Time
	lock  sync.Mutex
	file  *os.File
	lines *bufio.Writer
	ended bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

func (record *record) note(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	if record.ended {
		return
	}
	record.write(format, values...)
}

// end writes the last line.
func (record *record) end(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.write(format, values...)
	record.ended = true
}

// write writes a line. The lock is held.
func (record *record) write(format string, values ...any) {
	_, _ = fmt.Fprintf(record.lines, "%9.3f ", time.Since(record.began).Seconds())
	_, _ = fmt.Fprintf(record.lines, format+"\n", values...)
}

func (record *record) close() {
	record.lock.Lock()
	defer record.lock.Unlock()
	_ = record.lines.Flush()
	_ = record.file.Close()
}
