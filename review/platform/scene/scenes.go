package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// serve starts the deployment with an executor beside each agent and waits until it
// serves.
func (w *world) serve(routeTimeout time.Duration) error {
	if err := w.startAll(); err != nil {
		return err
	}
	for _, m := range w.machines {
		if !m.side {
			continue
		}
		kind := "a"
		if len(w.executors)%2 == 1 {
			kind = "b"
		}
		if _, err := w.addExecutor(m.name, "s", 16000, kind, "r1"); err != nil {
			return err
		}
	}
	if err := w.configure(3, routeTimeout); err != nil {
		return err
	}
	return w.awaitService(w.fronts())
}

// fronts returns the names of the machines that take requests.
func (w *world) fronts() []string {
	var names []string
	for _, m := range w.machines {
		if !m.side {
			names = append(names, m.name)
		}
	}
	return names
}

const smallMs = 100

func smallStep() step { return step{Count: 4, CPU: 1600, MemMb: 64, EstimatedMs: smallMs} }

// load submits small jobs at the given interval until stop is closed. Each has the step
// that next returns, whose tasks run for as long as estimated.
func (w *world) load(stop chan struct{}, fronts []string, every time.Duration, next func() step) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		s := next()
		j := w.newJob(s.EstimatedMs, s)
		all.Go(func() { w.submit(j, fronts, 1500*time.Millisecond, 2) })
	}
}

// leader returns the machine whose control process became leader last.
func (w *world) leader() (string, error) {
	name, latest := "", ""
	for _, m := range w.machines {
		data, err := os.ReadFile(filepath.Join(w.dir, roleControl+"-"+m.name+".log"))
		if err != nil {
			continue // not a control machine
		}
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, "became leader") {
				continue
			}
			if at := strings.Fields(line)[1]; at > latest { // the time of day
				name, latest = m.name, at
			}
		}
	}
	if name == "" {
		return "", fmt.Errorf("no leader")
	}
	return name, nil
}

// freeze stops the processes of a machine, and thaw continues them.
func (w *world) freeze(name string) {
	w.check.disturb(name)
	if w.machine(name).disk {
		w.check.disturb("core")
	}
	for _, role := range []string{roleControl, roleEntry, roleAgent} {
		w.signal(role, name, syscall.SIGSTOP)
	}
}

func (w *world) thaw(name string) {
	for _, role := range []string{roleControl, roleEntry, roleAgent} {
		w.signal(role, name, syscall.SIGCONT)
	}
	w.check.calm(name)
	if w.machine(name).disk {
		w.check.calm("core")
	}
}

// playDrain freezes a side machine for 7 s and the leader of the core for 4 s, which begin
// just before the side machine wakes. The executor of the side machine announces that it
// drains just after that, and goes on for many seconds.
func playDrain(w *world, trouble bool) error {
	if err := w.serve(1500 * time.Millisecond); err != nil {
		return err
	}
	lead, err := w.leader()
	if err != nil {
		return err
	}
	var calm []string
	for _, f := range w.fronts() {
		if f != lead {
			calm = append(calm, f)
		}
	}
	stop := make(chan struct{})
	var loading sync.WaitGroup
	loading.Go(func() { w.load(stop, calm, 50*time.Millisecond, smallStep) })
	defer loading.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	leaving := w.executors[0]
	if trouble {
		w.freeze(leaving.machine.name)
	}
	time.Sleep(6900 * time.Millisecond)
	if trouble {
		w.freeze(lead)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		w.thaw(leaving.machine.name)
	}
	time.Sleep(time.Second)
	leaving.drain()
	time.Sleep(2900 * time.Millisecond)
	if trouble {
		w.thaw(lead)
	}
	time.Sleep(8 * time.Second)
	leaving.down()
	return nil
}

// playCancel cancels a job whose second step waits for its first one.
func playCancel(w *world, trouble bool) error {
	const timeout = 20 * time.Second
	if err := w.serve(timeout); err != nil {
		return err
	}
	time.Sleep(time.Second)
	j := w.newJob(4000, step{Count: 1, CPU: 1600, MemMb: 64, EstimatedMs: 4000}, step{Count: 2, CPU: 1600, MemMb: 64, EstimatedMs: 4000, DependsOn: []int{0}})
	answered := make(chan int)
	go func() {
		status, _ := w.post(j, "front-1", timeout)
		answered <- status
	}()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		status, _ := w.call(http.MethodDelete, "front-1", routePrefix+j.id, nil, time.Second, time.Second)
		w.rec.log("answer to the cancelling of job %s: %d", j.id, status)
		if status/100 == 2 || status == http.StatusGone {
			w.check.mu.Lock()
			j.cancelled = time.Now()
			w.check.mu.Unlock()
		}
	}
	if status := <-answered; status == 0 {
		return fmt.Errorf("no answer to the job")
	}
	return nil
}

// Times of the final fault, from the site files.
const (
	killDown  = 1100 * time.Millisecond
	recoveryS = 12 * time.Second
	cutFor    = 5500 * time.Millisecond
)

// playReborn cuts the only executor off from its machine. It crashes behind the cut and
// starts again under its id. Meanwhile all processes are killed, and are back before the
// cut ends.
func playReborn(w *world, trouble bool) error {
	if err := w.serve(1500 * time.Millisecond); err != nil {
		return err
	}
	e := w.executors[0]
	before := w.measure(8 * time.Second)
	cutAt := time.Now()
	if trouble {
		e.cut()
		time.Sleep(2 * time.Second)
		e.down()
		time.Sleep(500 * time.Millisecond)
		if err := e.up(); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.killAll()
	time.Sleep(killDown)
	if err := w.startAll(); err != nil {
		return err
	}
	back := time.Now()
	if trouble {
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		e.heal()
	}
	time.Sleep(time.Until(back.Add(recoveryS)))
	after := w.measure(15 * time.Second)
	w.rec.log("share of the requests that were served: %.2f before the final fault, %.2f after the time to recover", before, after)
	if before >= 0.25 && after < 0.25 {
		w.check.mu.Lock()
		defer w.check.mu.Unlock()
		w.check.breaks("RECOVER", "%.2f of the requests are served, %.2f were before", after, before)
	}
	return nil
}

// measure submits a small job every 100 ms and returns the share that was served.
func (w *world) measure(d time.Duration) float64 {
	var all sync.WaitGroup
	var served atomic.Int64
	sent := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		sent++
		all.Go(func() {
			j := w.newJob(100, step{Count: 2, CPU: 1600, MemMb: 64, EstimatedMs: 100})
			if status, state := w.submit(j, w.fronts(), 1500*time.Millisecond, 2); status == http.StatusOK && state == "completed" {
				served.Add(1)
			}
		})
	}
	all.Wait()
	return float64(served.Load()) / float64(sent)
}

// killAll kills all processes at once.
func (w *world) killAll() {
	w.mu.Lock()
	var all []*process
	for _, p := range w.processes {
		all = append(all, p)
	}
	w.mu.Unlock()
	w.rec.log("all processes are killed")
	for _, p := range all {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.done
	}
}

const (
	greyFor   = 6500 * time.Millisecond // how long an executor fails all tasks, from the site files
	calmFor   = 6 * time.Second
	greyTimes = 3
)

// playLabel lets an executor of kind a fail all that it starts, three times. Each eighth
// job is wide and may run anywhere, the others need kind b. All channels lead to one front machine.
func playLabel(w *world, trouble bool) error {
	if err := w.serve(1500 * time.Millisecond); err != nil {
		return err
	}
	sent := 0
	next := func() step {
		if sent++; sent%8 == 0 {
			return step{Count: 24, CPU: 1600, MemMb: 64, EstimatedMs: smallMs}
		}
		return step{Count: 2, CPU: 1600, MemMb: 64, EstimatedMs: smallMs, Requirements: "b"}
	}
	stop := make(chan struct{})
	var loading sync.WaitGroup
	loading.Go(func() { w.load(stop, []string{"front-4"}, 25*time.Millisecond, next) })
	defer loading.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	for range greyTimes {
		if trouble {
			w.executors[0].setFailing(true)
		}
		time.Sleep(greyFor)
		if trouble {
			w.executors[0].setFailing(false)
		}
		time.Sleep(calmFor)
	}
	return nil
}

// Times of playTwice, from the moment at which the job is sent.
const (
	loseAt   = 706 * time.Millisecond // the client's channel is reset, just after a poll of the entry
	freezeAt = 785 * time.Millisecond
	freezeIn = 740 * time.Millisecond // length of the freeze
)

// rounds is how often playTwice plays its disruption.
const rounds = 6

// playTwice lets a client's channel break just before the side machine that runs some of
// the job's tasks freezes. When it wakes, the executor leaves stops unanswered. The client
// sends the job again, to another front machine.
func playTwice(w *world, trouble bool) error {
	if err := w.serve(6 * time.Second); err != nil {
		return err
	}
	stop := make(chan struct{})
	var loading sync.WaitGroup
	loading.Go(func() {
		w.load(stop, w.fronts(), 15*time.Millisecond, func() step { return step{Count: 3, CPU: 800, MemMb: 64, EstimatedMs: 30} })
	})
	defer loading.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	for range rounds {
		w.loseJob(trouble)
		time.Sleep(4 * time.Second)
	}
	return nil
}

func (w *world) loseJob(trouble bool) {
	e := w.executors[0]
	const deadline = 6 * time.Second
	var all sync.WaitGroup
	defer all.Wait()
	// Another client's job keeps the entry in touch with all agents.
	other := w.newJob(2500, step{Count: 9, CPU: 1600, MemMb: 64, EstimatedMs: 2500})
	all.Go(func() { w.submit(other, []string{"front-4"}, deadline, 1) })
	time.Sleep(200 * time.Millisecond)
	j := w.newJob(2500, step{Count: 15, CPU: 1600, MemMb: 64, EstimatedMs: 2500})
	sent := time.Now()
	timeout := deadline
	if trouble {
		timeout = loseAt
	}
	lost := make(chan time.Time, 1)
	all.Go(func() {
		if status, _ := w.postWaiting(j, "front-4", deadline, timeout); status == 0 {
			lost <- time.Now()
		}
	})
	if !trouble {
		return
	}
	time.Sleep(time.Until(sent.Add(freezeAt)))
	e.setLateStops(true)
	w.freeze(e.machine.name)
	time.Sleep(time.Until(sent.Add(freezeAt + freezeIn)))
	w.thaw(e.machine.name)
	time.Sleep(time.Until((<-lost).Add(retransmit)))
	w.post(j, "front-1", deadline)
	e.setLateStops(false)
}
