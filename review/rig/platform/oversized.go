package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recovery = 12 * time.Second // RecoveryS
	// requestInterval is the time between two jobs at an entry: the rate of the small site.
	requestInterval = 80 * time.Millisecond
)

// playOversized kills all entries and starts them again. The first job that reaches each of
// them is one that can never be done: its tasks need more memory than any executor has. The
// rule says that of the jobs sent later than RecoveryS after that a quarter is served.
// TROUBLE=kill leaves the job out that can't be done.
func playOversized(w *world, trouble bool) (bool, error) {
	const watched = 8 * time.Second
	served, sent := w.traffic(4 * time.Second)
	w.rec.add("before: %d of %d jobs are served", served, sent)
	if served*4 < sent {
		return false, fmt.Errorf("too few jobs are served before the disruption")
	}
	if trouble {
		if err := w.restartEntries(os.Getenv("TROUBLE") != "kill"); err != nil {
			return false, err
		}
	}
	served, sent = w.traffic(recovery)
	w.rec.add("until RecoveryS: %d of %d jobs are served", served, sent)
	served, sent = w.traffic(watched)
	w.rec.add("later than RecoveryS: %d of %d jobs are served", served, sent)
	for i := range fronts {
		w.rec.add("front-%d is ready: %v", i+1, w.ready(i))
	}
	if served*4 < sent {
		w.rec.add("RECOVER: less than a quarter is served")
		return true, nil
	}
	return false, nil
}

// restartEntries kills all entries, starts them again and sends each its first job.
func (w *world) restartEntries(oversized bool) error {
	for i := range fronts {
		w.kill(fmt.Sprintf("front-%d/entry", i+1))
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	for i := range fronts {
		if err := w.restart(fmt.Sprintf("front-%d/entry", i+1)); err != nil {
			return err
		}
		clients.Go(func() { w.sendFirst(i, oversized) })
	}
	clients.Wait()
	return nil
}

// sendFirst sends the first job that an entry gets after its start.
func (w *world) sendFirst(entry int, oversized bool) {
	j := smallJob(200, 2)
	if oversized {
		j.Steps[0].MemMb = 64 << 30 // 64 GB, given in bytes; an executor has 131,072 MB
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a := w.post(entry, newID(), j, 1500*time.Millisecond)
		if a.status == 0 {
			continue // nothing listens yet
		}
		w.rec.add("the first job at front-%d, MemMb %d, gets: %v", entry+1, j.Steps[0].MemMb, a)
		return
	}
}

// siteJob returns a job of the mix of the small site: a quarter of quick lookups, one in
// twenty settlements, and bookings.
func siteJob(n int) job {
	switch {
	case n%20 == 10:
		return smallJob(900, 4)
	case n%4 == 0:
		return smallJob(60, 8)
	}
	return smallJob(200, 2)
}

// siteDeadline returns how long the client of a job waits: longer than 1.5 s for long ones.
func siteDeadline(j job) time.Duration {
	return 1500*time.Millisecond + 4*time.Duration(j.Steps[0].EstimatedMs)*time.Millisecond
}

// traffic sends jobs to all entries for a while. It returns how many were completed and
// how many were sent.
func (w *world) traffic(d time.Duration) (served, sent int) {
	var completed, all atomic.Int64
	var clients sync.WaitGroup
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(requestInterval) {
		n++
		j := siteJob(n)
		for i := range fronts {
			clients.Go(func() {
				all.Add(1)
				a := w.post(i, newID(), j, siteDeadline(j))
				if a.status == http.StatusOK && a.state() == "completed" {
					completed.Add(1)
				}
			})
		}
	}
	clients.Wait()
	return int(completed.Load()), int(all.Load())
}
