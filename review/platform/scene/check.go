package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// checker judges the rules from what executors and clients see.
type checker struct {
	rec *recorder

	mu       sync.Mutex
	jobs     map[string]*job
	active   map[string][]*boot // boots that run a task now
	done     map[string]bool    // tasks with an end "done"
	drainAck map[*boot]time.Time
	troubled map[string]time.Time // end of the latest trouble by machine, zero while it lasts
	coreOK   time.Time            // since when the core has been stable
	broken   []string
	starts   int
	orders   int // all orders to executors
	late     int // those that got no answer and are carried out late
}

func newChecker(rec *recorder) *checker {
	return &checker{
		rec: rec, jobs: map[string]*job{}, active: map[string][]*boot{}, done: map[string]bool{},
		drainAck: map[*boot]time.Time{}, troubled: map[string]time.Time{}, coreOK: time.Now(),
	}
}

func (c *checker) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.rec.log("BROKEN %s", text)
}

func (c *checker) countOrder(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if late {
		c.late++
		return
	}
	c.orders++
}

// disturb records that a machine is disturbed, and calm that this has ended.
func (c *checker) disturb(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		c.troubled[n] = time.Time{}
		if n == "core" {
			c.coreOK = time.Time{}
		}
	}
}

func (c *checker) calm(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		c.troubled[n] = time.Now()
		if n == "core" {
			c.coreOK = time.Now()
		}
	}
}

// inTouch reports whether a machine has been in touch for the whole of contact: neither it
// nor the core was disturbed.
func (c *checker) inTouch(name string) bool {
	for _, n := range []string{name, "core"} {
		if end, ok := c.troubled[n]; ok && (end.IsZero() || time.Since(end) <= contact) {
			return false
		}
	}
	return true
}

// drainAcknowledged records the first acknowledgement of a draining mark by an agent in
// touch.
func (c *checker) drainAcknowledged(e *executor, b *boot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.drainAck[b]; !ok && c.inTouch(e.machine.name) {
		c.drainAck[b] = time.Now()
		c.rec.log("%s, in touch, has acknowledged that its executor drains", e.machine.name)
	}
}

// taskParts splits the name of a task, ID.K.STEP.INDEX.
func taskParts(task string) (id string, step, index int) {
	var k int
	parts := strings.SplitN(task, ".", 2)
	if len(parts) == 2 {
		_, _ = fmt.Sscanf(parts[1], "%d.%d.%d", &k, &step, &index)
	}
	return parts[0], step, index
}

// started judges a start that an executor has carried out.
func (c *checker) started(b *boot, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	name := b.exec.machine.name
	c.rec.log("start of %s run %d at %s", r.task, r.id, b)
	id, step, index := taskParts(r.task)
	j := c.jobs[id]
	if j == nil || step >= len(j.steps) || index >= j.steps[step].Count || r.spec != j.spec {
		c.breaks("UNASKED", "%s at %s: no client sent it, or with another spec", r.task, b)
		return
	}
	st := j.steps[step]
	r.cpu = st.CPU
	if others := c.active[r.task]; len(others) > 0 {
		c.breaks("TWICE", "%s starts at %s while it runs at %v", r.task, b, others)
	}
	c.active[r.task] = append(c.active[r.task], b)
	used, ofStep := 0, 0
	for _, o := range b.runs {
		used += o.cpu
		if oid, ostep, _ := taskParts(o.task); oid == id && ostep == step {
			ofStep++
		}
	}
	if used > b.exec.capacity {
		c.breaks("LIMIT", "%s brings %s to %d of %d", r.task, b, used, b.exec.capacity)
	}
	if st.AntiAffinity > 0 && ofStep > st.AntiAffinity {
		c.breaks("ROUTE", "%s is number %d of its step at %s", r.task, ofStep, b)
	}
	if st.Requirements != "" && !strings.Contains(" "+strings.Join(b.exec.labels, " ")+" ", " "+st.Requirements+" ") {
		c.breaks("ROUTE", "%s needs label %s, %s has %v", r.task, st.Requirements, b, b.exec.labels)
	}
	for _, k := range st.DependsOn {
		for i := range j.steps[k].Count {
			if before := fmt.Sprintf("%s.0.%d.%d", id, k, i); !c.done[before] {
				c.breaks("ORDER", "%s starts before %s is done", r.task, before)
			}
		}
	}
	if at, ok := c.drainAck[b]; ok && time.Since(at) > drainBound && c.inTouch(name) {
		c.breaks("DRAIN", "%s starts at %s, %d ms after a machine in touch acknowledged that it drains", r.task, b, time.Since(at).Milliseconds())
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound && c.inTouch(name) {
		c.breaks("UNASKED", "%s starts %d ms after its job's cancelling was acknowledged", r.task, time.Since(j.cancelled).Milliseconds())
	}
	if j.rejectedOnly() {
		c.breaks("REFUSED", "%s starts, and all attempts to hand its job in were rejected", r.task)
	}
}

func (c *checker) ended(b *boot, r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.log("end of %s run %d at %s: %s", r.task, r.id, b, how)
	if how == "done" {
		c.done[r.task] = true
	}
	list := c.active[r.task]
	for i, o := range list {
		if o == b {
			c.active[r.task] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}
