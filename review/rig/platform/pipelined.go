package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"
)

// playPipelined has a client hand a job in and ask for its state over the same channel while
// the answer is awaited. Then the channel is reset. RetransmitMs later the client sends the
// job again to another daemon. The rule says that no task may run twice at the same time.
// TROUBLE=reset resets the channel and leaves the request for the state out.
func playPipelined(w *world, trouble bool) (bool, error) {
	const deadline = 10 * time.Second
	id := newID()
	j := smallJob(5000, 6)
	body, err := json.Marshal(j)
	if err != nil {
		return false, err
	}
	conn, err := net.Dial("tcp", w.frontAddr(0))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }() // it may have been reset before
	w.rec.add("client sends job %s to front-1", id)
	if _, err := fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nBaobabshore-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, deadline.Milliseconds(), len(body), body); err != nil {
		return false, err
	}
	for end := time.Now().Add(3 * time.Second); len(w.runsOf(id)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the job doesn't start")
		}
	}
	if os.Getenv("TROUBLE") != "reset" {
		w.rec.add("client asks for the state over the same channel")
		if _, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nBaobabshore-Deadline-Ms: 1500\r\n\r\n", prefix, id, host); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.rec.add("the channel is reset")
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			return false, err
		}
		_ = conn.Close() // sends a reset
		time.Sleep(retransmit)
		w.rec.add("client sends job %s to front-2", id)
		w.rec.add("client gets: %v", w.post(1, id, j, deadline))
	} else {
		time.Sleep(6 * time.Second)
	}
	return w.reportOverlaps(id), nil
}

// reportOverlaps reports whether two runs of a task of the job ran at the same time.
func (w *world) reportOverlaps(id string) bool {
	runs := w.runsOf(id)
	broken := false
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := later(a.began, b.began), earlierEnd(a, b)
			if to.After(from) {
				w.rec.add("TWICE: two runs of %s at the same time for %d ms", a.task, to.Sub(from).Milliseconds())
				broken = true
			}
		}
	}
	return broken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierEnd returns the earlier end of two runs; one that goes on ends now.
func earlierEnd(a, b taskRun) time.Time {
	end := time.Now()
	for _, t := range []taskRun{a, b} {
		if !t.ended.IsZero() && t.ended.Before(end) {
			end = t.ended
		}
	}
	return end
}
