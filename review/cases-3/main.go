// Command cases-3 plays the scripts of the third independent review. It starts the
// project's own program as separate processes on loopback addresses, with the commands and
// templates of the deploy file, between stand-ins for instances, requesters and the
// operator.
//
//	cases-3 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// play is one case. It reports whether the rule was broken.
type play func(record *record, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-3 CASE FOLDER")
		os.Exit(2)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// The processes that were started end with this one.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() {
		record.say("the case took too long")
		os.Exit(2)
	})
	broken, err := plays[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		os.Exit(2)
	case broken:
		record.say("the rule was broken")
		os.Exit(1)
	}
	record.say("the rule held")
}
