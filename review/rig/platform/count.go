package main

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// playCount has a client hand in one job, a step of which asks for more tasks than there can be.
// After a broken channel the client sends the job again, RetransmitMs later, to the next
// daemon. The platform ends a process that uses more than MemoryMb, and starts what has
// ended again. The rule allows fewer than three such ends on two machines.
func playCount(w *world, trouble bool) (bool, error) {
	const (
		maxSends  = 14
		deadline  = 1500 * time.Millisecond
		endsLimit = 3
		machines  = 2
	)
	j := smallJob(20, 3)
	if trouble {
		j.Steps = []jobStep{
			{Count: math.MaxInt64, Cpu: 6200, MemMb: 64, EstimatedMs: 20},
			{Count: 3, Cpu: 6200, MemMb: 64, EstimatedMs: 20},
		}
	}
	stop := make(chan struct{})
	var supervisors sync.WaitGroup
	defer supervisors.Wait() // none may start a process after the end of the test
	defer close(stop)
	var ends [fronts]atomic.Int32
	for i := range fronts {
		supervisors.Go(func() { w.superviseEntry(i, &ends[i], stop) })
	}
	id := newID()
	for n := range maxSends {
		entry := n % fronts
		w.rec.add("client sends job %s to front-%d", id, entry+1)
		a := w.post(entry, id, j, deadline)
		w.rec.add("client gets: %v", a)
		if !a.repeats() {
			break
		}
		time.Sleep(retransmit)
	}
	hit := 0
	for i := range ends {
		w.rec.add("front-%d/entry has ended by itself %d times", i+1, ends[i].Load())
		if ends[i].Load() >= endsLimit {
			hit++
		}
	}
	return hit >= machines, nil
}

// superviseEntry plays the platform: it ends the entry when it uses too much memory, and
// starts it again a second after it has ended.
func (w *world) superviseEntry(i int, ends *atomic.Int32, stop <-chan struct{}) {
	name := []string{"front-1/entry", "front-2/entry", "front-3/entry"}[i]
	for range time.Tick(2 * time.Millisecond) {
		select {
		case <-stop:
			return
		default:
		}
		p := w.processes[name]
		if mb := p.residentMb(); mb > memoryMb {
			w.rec.add("%s uses %d MB of %d and is ended", name, mb, memoryMb)
			_ = p.cmd.Process.Kill() // it may have ended already
			<-p.exited
		}
		if !p.hasExited() {
			continue
		}
		ends.Add(1)
		w.rec.add("%s has ended", name)
		time.Sleep(time.Second)
		select {
		case <-stop:
			return
		default:
		}
		if err := w.restart(name); err != nil {
			w.rec.add("%v", err)
			return
		}
	}
}
