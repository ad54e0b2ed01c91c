package main

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"
)

// playUncounted has a client hand job A in. While it runs, another client asks for two jobs
// that can never be done, each of which is refused. Then job B is handed in at the same entry.
// The rule says that B isn't shown as completed while one of its tasks hasn't ended so. All
// tasks of A and B need the kind of the first executor.
func playUncounted(w *world, trouble bool) (bool, error) {
	const (
		tasks    = 4
		deadline = 5 * time.Second
		warmUp   = 40 // jobs before, while the executors are new
		later    = 20 // jobs at the end
	)
	for range warmUp {
		if a := w.post(0, newID(), jobOfKind(kind(0), 20, 2), deadline); a.status != http.StatusOK {
			return false, fmt.Errorf("a job before the disruption isn't served: %v", a)
		}
	}
	idA, idB := newID(), newID()
	posted := make(chan answer, 1)
	w.rec.add("client 1 sends job A, %s, of %d tasks to front-1", idA, tasks)
	go func() { posted <- w.post(0, idA, jobOfKind(kind(0), 600, tasks), deadline) }()
	for end := time.Now().Add(3 * time.Second); len(w.runsOf(idA)) < tasks; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("job A doesn't start")
		}
	}
	if trouble {
		for range 2 {
			w.rec.add("client 2 asks front-1 for a job of %d tasks", math.MaxInt64)
			w.rec.add("client 2 gets: %v", w.post(0, newID(), jobOfKind(kind(0), 20, math.MaxInt64), deadline))
		}
	}
	w.rec.add("client 3 sends job B, %s, of %d tasks to front-1", idB, tasks)
	b := w.post(0, idB, jobOfKind(kind(0), 900, tasks), deadline)
	answered := time.Now()
	w.rec.add("client 3 gets: %v", b)
	time.Sleep(500 * time.Millisecond) // the executors' answers are on their way
	broken := false
	for i := range tasks {
		name := fmt.Sprintf("%s.0.0.%d", idB, i)
		began, done := w.progressOf(name, answered)
		if b.status == http.StatusOK && b.state() == "completed" && !done {
			w.rec.add("MIXED: job B is shown as completed, task %s has begun: %v, has ended done: false", name, began)
			broken = true
		}
	}
	w.rec.add("client 1 gets: %v; of the tasks of job A %d are done", <-posted, w.doneTasks(idA))
	w.serveLater(later)
	return broken, nil
}

// jobOfKind returns a job of equal tasks that need an executor of a kind.
func jobOfKind(kind string, ms, tasks int) job {
	j := smallJob(ms, tasks)
	j.Steps[0].Requirements = kind
	return j
}

// progressOf reports whether a run of a task has begun, and whether one had ended done by
// the given time.
func (w *world) progressOf(task string, by time.Time) (began, done bool) {
	id, _, _ := strings.Cut(task, ".")
	for _, t := range w.runsOf(id) {
		if t.task == task {
			began = true
			done = done || t.how == "done" && t.ended.Before(by)
		}
	}
	return began, done
}

func (w *world) doneTasks(id string) int {
	n := 0
	for _, t := range w.runsOf(id) {
		if t.how == "done" {
			n++
		}
	}
	return n
}

// serveLater records how many of n small jobs the first entry serves afterwards. It isn't
// judged.
func (w *world) serveLater(n int) {
	served := 0
	for range n {
		if w.post(0, newID(), smallJob(20, 2), 1500*time.Millisecond).status == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.rec.add("front-1 serves %d of %d jobs afterwards, ready: %v", served, n, w.ready(0))
}
