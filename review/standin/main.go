// Command standin runs one scripted case of the review: it starts the project's own
// programs as separate processes on loopback addresses, plays clients, servers and the
// platform around them, and reports whether a rule was broken.
//
// # Usage
//
//	standin CASE FOLDER
//
// The record is written to FOLDER/record.txt. With TROUBLE=0 in the environment the case
// leaves out the disruption. The exit status is 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRun is below the 120 s that a script may take.
const maxRun = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

type caseFunc func(run *caseRun) (verdict, error)

var cases = map[string]caseFunc{}

// caseRun is what a case works with.
type caseRun struct {
	*record
	ctx     context.Context
	trouble bool
	root    string
	folder  string
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	written, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer written.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	run := &caseRun{record: written, ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", root: root, folder: folder}
	run.note("case %s, trouble %v", os.Args[1], run.trouble)
	result, err := cases[os.Args[1]](run)
	switch {
	case err != nil:
		run.end("could not run: %v", err)
		return fail(err)
	case result.broken:
		run.end("BROKEN: %s", result.reason)
		fmt.Println("BROKEN:", result.reason)
		return 1
	}
	run.end("HELD: %s", result.reason)
	fmt.Println("HELD:", result.reason)
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return 2
}
