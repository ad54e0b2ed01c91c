package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForgotten has a client hand a job in and delete it. Then all entries are killed at the
// same moment and start again. Once they have been in touch, a copy of the POST arrives. The
// rule says that no task of the job may start then.
func playForgotten(w *world, trouble bool) (bool, error) {
	id := newID()
	j := smallJob(4000, 2)
	posted := make(chan answer, 1)
	go func() { posted <- w.post(0, id, j, 10*time.Second) }()
	for end := time.Now().Add(3 * time.Second); len(w.runsOf(id)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the job doesn't start")
		}
	}
	w.rec.add("client deletes job %s at front-2", id)
	d := w.call(http.MethodDelete, 1, id, "", 3*time.Second)
	acknowledged := time.Now()
	w.rec.add("client gets: %v; its POST gets: %v", d, <-posted)
	if d.status != http.StatusOK && d.status != http.StatusGone {
		return false, fmt.Errorf("the DELETE is not acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for i := range fronts {
			w.kill(fmt.Sprintf("front-%d/entry", i+1))
		}
		time.Sleep(time.Second)
		for i := range fronts {
			if err := w.restart(fmt.Sprintf("front-%d/entry", i+1)); err != nil {
				return false, err
			}
		}
	}
	for i := range fronts {
		if err := w.awaitService(i, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	before := time.Now()
	w.rec.add("a copy of the POST of job %s arrives at front-3, %.1f s after the acknowledgement", id, before.Sub(acknowledged).Seconds())
	w.rec.add("the copy gets: %v", w.post(2, id, j, 10*time.Second))
	broken := false
	for _, t := range w.runsOf(id) {
		if t.began.After(acknowledged.Add(cancelTime)) {
			w.rec.add("UNASKED: %v began %.1f s after the cancelling was acknowledged", t, t.began.Sub(acknowledged).Seconds())
			broken = true
		}
	}
	return broken, nil
}

// runsOf returns the runs of the tasks of a job at all executors.
func (w *world) runsOf(id string) []taskRun {
	var out []taskRun
	for _, x := range w.executors {
		out = append(out, x.runsOf(id)...)
	}
	return out
}
