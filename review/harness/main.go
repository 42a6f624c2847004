// Command harness runs the scripted cases of the second independent review. Each case
// starts a small deployment on loopback addresses, with the settings and the command of
// the deploy file, and stand-ins for instances, requesters and the operator.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the case runs without its disruption.
//
// # Usage
//
//	harness CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// longestRun ends a case that hangs.
const longestRun = 116 * time.Second

// scenario is one case. It returns what breaks the rule, or nothing.
type scenario struct {
	// sidecarZones is the number of zones with sidecar machines; zero means all.
	sidecarZones int
	services     []string
	// startsItself says that the case starts the processes.
	startsItself bool
	run          func(world *world) ([]string, error)
}

// world is the deployment of a case with its stand-ins.
type world struct {
	*cluster
	trouble   bool
	instances map[*machine]*instance
}

var scenarios = map[string]scenario{
	"growth": {sidecarZones: 1, services: []string{"quota"}, run: runGrowth},
	"stop":   {services: []string{"quota", "callback"}, run: runStop},
	"first":  {services: []string{"quota"}, startsItself: true, run: runFirst},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitFailed)
	}
	chosen, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "harness: unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		os.Exit(exitFailed)
	}
	os.Exit(play(chosen, log))
}

func play(chosen scenario, log *record) int {
	deployment, err := newCluster(log, chosen)
	if err != nil {
		log.add("case: could not run: %v", err)
		return exitFailed
	}
	defer deployment.close()
	done := make(chan int, 1)
	go func() {
		done <- judge(chosen, &world{cluster: deployment, trouble: os.Getenv("TROUBLE") != "0", instances: make(map[*machine]*instance)})
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-done:
		return code
	case <-stopped:
		log.add("case: could not run: it was stopped")
		return exitFailed
	case <-time.After(longestRun):
		log.add("case: could not run: it took longer than %s", longestRun)
		return exitFailed
	}
}

func judge(chosen scenario, world *world) int {
	world.record.add("case: trouble %t", world.trouble)
	var breaks []string
	var err error
	if !chosen.startsItself {
		err = world.startAll()
	}
	if err == nil {
		breaks, err = chosen.run(world)
	}
	switch {
	case err != nil:
		world.record.add("case: could not run: %v", err)
		return exitFailed
	case len(breaks) > 0:
		for _, reason := range breaks {
			world.record.add("case: broken: %s", reason)
		}
		return exitBroken
	}
	world.record.add("case: held")
	return exitHeld
}
