package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	lock    sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes one line to the file and to standard output.
func (record *record) add(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, values...))
	_, _ = record.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}
