package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// addedRoutes is the largest number of routes by which a manifest grows at once on the
	// site, and growths how often it does.
	addedRoutes = 350
	growths     = 5
	// maxChanges and changesUntil bound the changes.
	maxChanges   = 400
	changesUntil = 110 * time.Second
	// orders is how many orders are in progress at once.
	orders = 4
	// killsEach is how often processes have to end by themselves to break the rule.
	killsEach = 3
)

// supervisor acts as the platform does: it kills a process that uses more memory than its
// machine has, and starts it again after a short delay.
type supervisor struct {
	world *world
	lock  sync.Mutex
	kills map[string]int
	peak  map[string]int
}

// residentMiB is the memory that a process uses, in MiB.
func (machine *machine) residentMiB() int {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if machine.command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", machine.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if amount, found := strings.CutPrefix(line, "VmRSS:"); found {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(amount), "kB")))
			return kib / 1024
		}
	}
	return 0
}

// watch checks one core machine until done is closed.
func (supervisor *supervisor) watch(machine *machine, done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		used := machine.residentMiB()
		supervisor.lock.Lock()
		supervisor.peak[machine.name] = max(supervisor.peak[machine.name], used)
		supervisor.lock.Unlock()
		if used <= coreMemoryMiB {
			continue
		}
		supervisor.world.record.add("platform: %s uses %d MiB of %d and is killed", machine.name, used, coreMemoryMiB)
		supervisor.lock.Lock()
		supervisor.kills[machine.name]++
		supervisor.lock.Unlock()
		machine.signal(syscall.SIGKILL)
		machine.kill()
		time.Sleep(500 * time.Millisecond)
		if err := machine.start(false); err != nil {
			return err
		}
	}
}

// runGrowth lets the manifest grow by many routes, and then changes it often.
func runGrowth(world *world) ([]string, error) {
	if err := world.startInstances(nil); err != nil {
		return nil, err
	}
	services := []string{"quota"}
	if err := world.begin(services); err != nil {
		return nil, err
	}
	watched := &supervisor{world: world, kills: make(map[string]int), peak: make(map[string]int)}
	done := make(chan struct{})
	watching := sync.WaitGroup{}
	for _, core := range world.cores {
		watching.Go(func() {
			if err := watched.watch(core, done); err != nil {
				world.record.add("platform: %v", err)
			}
		})
	}
	version, routes, began := 1, 0, time.Now()
	for change := 0; change < maxChanges && time.Since(began) < changesUntil && !watched.broken(); change++ {
		if world.trouble && change < growths {
			routes += addedRoutes
		}
		next, err := world.race(version, routes, services)
		if err != nil {
			world.record.add("operator: %v", err)
			break
		}
		version = next
		if change%20 == 0 {
			watched.report(change+1, time.Since(began))
		}
	}
	close(done)
	watching.Wait()
	return watched.judge(), nil
}

// race sends different changes on top of the same version at once, and returns the version
// that was accepted.
func (world *world) race(base, routes int, services []string) (int, error) {
	statuses, errs := make([]int, orders), make([]error, orders)
	sending := sync.WaitGroup{}
	for index := range statuses {
		sending.Go(func() {
			statuses[index], errs[index] = world.put(grownManifest(base+1+index, base, routes, services))
		})
	}
	sending.Wait()
	for index, status := range statuses {
		if status == http.StatusOK {
			return base + 1 + index, nil
		}
	}
	return 0, fmt.Errorf("none of the changes on top of r%d was accepted: %v %v", base, statuses, errs)
}

func grownManifest(version, base, routes int, services []string) object {
	manifest := newManifest(version, base, services)
	table := manifest["routes"].(object)
	for route := range routes {
		table[fmt.Sprintf("r-%06d", route)] = newRoute(services[0], fmt.Sprintf("/added-%d/", route), "idempotent")
	}
	table["write-"+services[0]].(object)["timeout-s"] = 5 + float64(version%8)/4
	return manifest
}

func (supervisor *supervisor) report(changes int, took time.Duration) {
	supervisor.lock.Lock()
	defer supervisor.lock.Unlock()
	supervisor.world.record.add("platform: memory at its peak after %d changes in %.1f s: %v MiB of %d", changes, took.Seconds(), supervisor.peak, coreMemoryMiB)
}

// broken reports whether processes on half of the core have each ended by themselves as
// often as breaks the rule.
func (supervisor *supervisor) broken() bool {
	supervisor.lock.Lock()
	defer supervisor.lock.Unlock()
	machines := 0
	for _, kills := range supervisor.kills {
		if kills >= killsEach {
			machines++
		}
	}
	return 2*machines >= len(supervisor.world.cores)
}

// judge applies the rule.
func (supervisor *supervisor) judge() []string {
	broken := supervisor.broken()
	supervisor.lock.Lock()
	defer supervisor.lock.Unlock()
	supervisor.world.record.add("case: memory at its peak %v MiB of %d; processes killed for it: %v", supervisor.peak, coreMemoryMiB, supervisor.kills)
	if !broken {
		return nil
	}
	return []string{fmt.Sprintf("Fault: on half of the core or more, processes ended by themselves %d times, over the limit of memory: %v", killsEach, supervisor.kills)}
}
