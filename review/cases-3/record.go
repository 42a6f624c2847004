package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	lock  sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, began: time.Now()}, err
}

func (record *record) add(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line and prints it.
func (record *record) say(format string, values ...any) {
	record.add(format, values...)
	fmt.Printf(format+"\n", values...)
}
