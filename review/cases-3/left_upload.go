package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { plays["left-upload"] = leftUpload }

const (
	photoBytes  = 100_000
	photoSlots  = 11
	photoWork   = 900 * time.Millisecond
	photoCount  = 330
	clump       = 22
	clumpPause  = 2200 * time.Millisecond
	sendPause   = 8 * time.Millisecond
	leavesAfter = 100 * time.Millisecond
	leaveOneOf  = 4
	// Requesters leave in two clumps of three.
	leavingClumps, clumpsOfPeriod = 2, 3
	lateArrival                   = 500 * time.Millisecond
	fewArrivals                   = 5
	settledAfter                  = 2 * time.Second
)

// leftUpload uploads photos that at times have to wait for a slot of their instance, while for
// some seconds, several times, one requester in four closes its connection 100 ms after it has
// sent its photo. Without the
// disruption no requester leaves.
func leftUpload(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "evidencia", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	cluster.slots = photoSlots
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	target, from := cluster.sidecars()[0], cluster.sidecars()[1]
	target.instance.work = func(writer http.ResponseWriter, _ *http.Request, body []byte) {
		time.Sleep(photoWork)
		text := fmt.Sprintf("stored %d bytes\n", len(body))
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(writer, text)
	}
	if err := cluster.mustPut(manifest(map[string]any{"r-photo": route("evidencia.example", "/photo/", "upload", "evidencia")}, "evidencia", "subsidios")); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	lock, requests := sync.Mutex{}, sync.WaitGroup{}
	left, statuses := map[string]time.Time{}, map[int]int{}
	for number := range photoCount {
		leaves := trouble && number%leaveOneOf == 0 && number/clump%clumpsOfPeriod < leavingClumps
		requests.Go(func() {
			requester, err := cluster.connect(from)
			if err != nil {
				return
			}
			defer requester.close()
			if leaves {
				id := requester.sendAndLeave(fmt.Sprintf("/photo/%d", number))
				lock.Lock()
				defer lock.Unlock()
				left[id] = time.Now()
				return
			}
			status := requester.do(http.MethodPost, "evidencia.example", fmt.Sprintf("/photo/%d", number), make([]byte, photoBytes), nil).status
			lock.Lock()
			defer lock.Unlock()
			statuses[status]++
		})
		time.Sleep(sendPause)
		if number%clump == clump-1 {
			time.Sleep(clumpPause)
		}
	}
	requests.Wait()
	time.Sleep(settledAfter)
	target.instance.lock.Lock()
	defer target.instance.lock.Unlock()
	late, longest := 0, time.Duration(0)
	for _, arrival := range target.instance.arrivals {
		if at, known := left[arrival.id]; known && arrival.at.Sub(at) > lateArrival {
			late++
			longest = max(longest, arrival.at.Sub(at))
		}
	}
	ran := 0
	for _, run := range target.instance.runs {
		if at, known := left[run.id]; known && run.at.Sub(at) > lateArrival {
			ran++
		}
	}
	record.say("%d requests by status %v, and %d whose requester has left", photoCount, statuses, len(left))
	record.say("%d of these reached the instance over %v after the close, the last %v after it; %d of them ran", late, lateArrival, longest.Round(time.Millisecond), ran)
	if statuses[http.StatusOK] < photoCount/4 {
		return false, fmt.Errorf("only %d uploads were served", statuses[http.StatusOK])
	}
	return late > fewArrivals, nil
}

// sendAndLeave sends a whole upload, and closes the connection soon after it.
func (requester *requester) sendAndLeave(path string) string {
	id := newID()
	requester.cluster.record.add("request %s sent to %s: POST %s, %d bytes", id, requester.host.name, path, photoBytes)
	fmt.Fprintf(requester.conn, "POST %s HTTP/1.1\r\nHost: evidencia.example\r\nX-Magnoliawall-Request-Id: %s\r\nX-Magnoliawall-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", path, id, photoBytes)
	_, _ = requester.conn.Write(make([]byte, photoBytes))
	time.Sleep(leavesAfter)
	requester.close()
	requester.cluster.record.add("the requester of %s has left", id)
	return id
}
