package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// jobRecord is the control group's record of a job.
type jobRecord struct {
	id     ids.Job
	epoch  ids.Epoch
	owner  *process
	caller *caller
	state  wire.JobState
	err    *verdict.Error
	begun  bool // the owner's core has the job
	bodied bool // the owner's core has the bodies
}

// begin hands the job to the core of its owner. A job with bodies is new,
// otherwise the owner takes it over.
func (rec *jobRecord) begin(p *process, j dispatch.Job) {
	rec.begun, rec.bodied = true, j.Specs != nil
	j.JobSpec, j.ID, j.Epoch = p.c.spec(rec.caller.sub), rec.id, rec.epoch
	p.c.check.owes(p, ids.TaskKey{Job: rec.id}, rec.epoch)
	p.entry.Submit(p.c.now, j)
}

// control is the fake control group: a registry, leases and job records. It
// is one place that never fails; its own faults are tested elsewhere. The
// registry rows stand in the processes.
type control struct {
	c       *Cluster
	rng     *rand.Rand
	version uint64
	view    []wire.Member // of the registry, shared by the processes, nil after a change
	jobs    []*jobRecord
	byID    map[ids.Job]*jobRecord
}

func newControl(c *Cluster, seed uint64) *control {
	return &control{c: c, rng: newRand(seed, 4), byID: map[ids.Job]*jobRecord{}}
}

// register makes the registry row of a new process.
func (k *control) register(p *process) {
	d := k.c.opts.Deployment
	k.changed()
	p.inc = ids.Incarnation(k.version)
	m := wire.Member{Incarnation: p.inc}
	m.Kind, m.Node = p.kind, ids.Node(fmt.Sprintf("%s-%d", p.kind, p.index))
	m.Domain = ids.Domain(fmt.Sprintf("domain-%d", p.index%d.Domains))
	if p.kind == wire.KindAgent {
		m.Service, m.Slots, m.Connections = ids.Service(d.Service), d.Slots, connections
	} else {
		m.Weight = d.Weights[p.index]
	}
	p.row = m
	p.renewed = k.c.now
}

// changed begins a new version of the registry.
func (k *control) changed() {
	k.version++
	k.view = nil
}

// rows returns the registry. Nobody may change the result.
func (k *control) rows() []wire.Member {
	if k.view == nil {
		for _, p := range k.c.lives {
			k.view = append(k.view, p.row)
		}
	}
	return k.view
}

// setDraining marks the row of a process that leaves.
func (k *control) setDraining(p *process) {
	k.changed()
	p.row.Draining = true
}

// renewed takes in a renewal and schedules the end of the lease.
func (k *control) renewed(p *process) {
	at := k.c.now
	p.renewed = at
	lease := wire.AgentLease
	if p.kind == wire.KindEntry {
		lease = wire.EntryLease
	}
	k.c.after(lease, func() {
		if p.renewed == at {
			k.expire(p)
		}
	})
}

// expire ends an incarnation and moves the jobs of an entry to a live one.
func (k *control) expire(p *process) {
	if !p.row.Live() {
		return
	}
	k.changed()
	p.row.Expired = ids.Version(k.version)
	k.c.tracef("control expires %s %d", p.kind, p.inc)
	if p.kind == wire.KindEntry {
		k.reassign()
	}
}

// reassign gives each open job of an expired owner to a live entry. With no
// live entry it waits for the next registration.
func (k *control) reassign() {
	for _, rec := range k.jobs {
		if rec.state != wire.JobOpen || rec.owner.row.Live() {
			continue
		}
		to := k.liveEntry()
		if to == nil {
			return
		}
		rec.owner, rec.epoch = to, rec.epoch+1
		rec.begun, rec.bodied = false, false
		to.assigned = append(to.assigned, rec)
		k.c.tracef("control assigns job %d epoch %d to entry %d", rec.id, rec.epoch, to.inc)
	}
}

// liveEntry draws a live entry by weight.
func (k *control) liveEntry() *process {
	var live []*process
	var weights []int
	for _, p := range k.c.lives {
		if p.kind == wire.KindEntry && p.row.Live() {
			live = append(live, p)
			weights = append(weights, p.row.Weight)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[weighted(k.rng, weights)]
}

// admit records a job, or returns the record of the first submission under the
// caller's job key.
func (k *control) admit(owner *process, cl *caller) (rec *jobRecord, duplicate bool) {
	if cl.admission != nil {
		return cl.admission, true
	}
	k.version++
	rec = &jobRecord{id: ids.Job(k.version), epoch: 1, owner: owner, caller: cl, state: wire.JobOpen}
	k.jobs = append(k.jobs, rec)
	k.byID[rec.id] = rec
	cl.admission = rec
	return rec, false
}

// complete records the end of a job by its owner. An old epoch has no effect.
func (k *control) complete(p *process, o dispatch.Outcome) {
	rec := k.byID[o.Job]
	if rec.state == wire.JobOpen && rec.owner == p && rec.epoch == o.Epoch {
		rec.state, rec.err = o.State, o.Err
	}
}

// heartbeat renews the lease of a process, brings its view up to date and tells
// it when its view is no longer confirmed.
func (p *process) heartbeat() {
	c := p.c
	if p.dead {
		return
	}
	c.after(wire.RenewInterval, p.heartbeat)
	if p.frozen {
		return
	}
	p.checkCurrent()
	sent := c.now
	c.after(2*c.opts.Deployment.DomainLatency, func() {
		if p.dead || p.frozen || p.cut {
			return
		}
		if !p.row.Live() {
			c.kill(p)
			c.after(time.Second, func() { c.restart(p) })
			return
		}
		c.ctl.renewed(p)
		p.confirmed = sent
		p.input(p.update)
	})
}

// checkCurrent tells the core when the last confirmation is too old.
func (p *process) checkCurrent() {
	if p.c.now-p.confirmed > wire.StaleAfter {
		p.core.SetCurrent(false)
	}
}

// update applies the control group's state to the core of a process.
func (p *process) update() {
	c := p.c
	p.core.SetCurrent(true)
	if at := ids.Version(c.ctl.version); at != p.view {
		p.view = at
		if p.entry != nil {
			isEntry := func(m wire.Member) bool { return m.Kind == wire.KindEntry }
			p.entry.SetUpstreams(c.now, slices.DeleteFunc(slices.Clone(c.ctl.rows()), isEntry))
		} else {
			p.agent.SetEntries(c.now, at, c.ctl.rows())
		}
	}
	if p.entry == nil {
		return
	}
	c.connect(p)
	for _, rec := range p.assigned {
		if rec.owner == p && rec.state == wire.JobOpen {
			rec.begin(p, dispatch.Job{Takeover: true})
		}
	}
	p.assigned = nil
}
