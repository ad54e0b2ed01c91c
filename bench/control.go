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
// is one place that never fails; its own faults are tested elsewhere.
type control struct {
	c       *Cluster
	rng     *rand.Rand
	version uint64
	members []wire.Member
	view    []wire.Member                     // copy of members that processes share, nil after a change
	leases  map[ids.Incarnation]time.Duration // last renewal
	jobs    []*jobRecord
	byID    map[ids.Job]*jobRecord
	byKey   map[string]*jobRecord
}

func newControl(c *Cluster, seed uint64) *control {
	return &control{c: c, rng: newRand(seed, 4), leases: map[ids.Incarnation]time.Duration{},
		byID: map[ids.Job]*jobRecord{}, byKey: map[string]*jobRecord{}}
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
	k.members = append(k.members, m)
	k.leases[p.inc] = k.c.now
}

// changed begins a new version of the registry.
func (k *control) changed() {
	k.version++
	k.view = nil
}

// rows returns a copy of the registry that nobody may change.
func (k *control) rows() []wire.Member {
	if k.view == nil {
		k.view = slices.Clone(k.members)
	}
	return k.view
}

// member returns the row of an incarnation.
func (k *control) member(inc ids.Incarnation) *wire.Member {
	for i := range k.members {
		if k.members[i].Incarnation == inc {
			return &k.members[i]
		}
	}
	return nil
}

// setDraining marks the row of a process that leaves.
func (k *control) setDraining(inc ids.Incarnation) {
	k.changed()
	k.member(inc).Draining = true
}

// renewed takes in a renewal and schedules the end of the lease.
func (k *control) renewed(p *process) {
	at := k.c.now
	k.leases[p.inc] = at
	lease := wire.AgentLease
	if p.kind == wire.KindEntry {
		lease = wire.EntryLease
	}
	k.c.after(lease, func() {
		if k.leases[p.inc] == at {
			k.expire(p)
		}
	})
}

// expire ends an incarnation and moves the jobs of an entry to a live one.
func (k *control) expire(p *process) {
	m := k.member(p.inc)
	if !m.Live() {
		return
	}
	k.changed()
	m.Expired = ids.Version(k.version)
	k.c.tracef("control expires %s %d", p.kind, p.inc)
	if p.kind == wire.KindEntry {
		k.reassign()
	}
}

// reassign gives each open job of an expired owner to a live entry. With no
// live entry it waits for the next registration.
func (k *control) reassign() {
	for _, rec := range k.jobs {
		if rec.state != wire.JobOpen || k.member(rec.owner.inc).Live() {
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
	for _, m := range k.members {
		if m.Kind == wire.KindEntry && m.Live() {
			live = append(live, k.c.byInc[m.Incarnation])
			weights = append(weights, m.Weight)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[weighted(k.rng, weights)]
}

// admit records a job, or returns the record of the first submission of its key.
func (k *control) admit(owner *process, cl *caller) (rec *jobRecord, duplicate bool) {
	key := fmt.Sprintf("%d/%d", cl.sub.ID, cl.generation)
	if rec := k.byKey[key]; rec != nil {
		return rec, true
	}
	k.version++
	rec = &jobRecord{id: ids.Job(k.version), epoch: 1, owner: owner, caller: cl, state: wire.JobOpen}
	k.jobs = append(k.jobs, rec)
	k.byID[rec.id], k.byKey[key] = rec, rec
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
		if !c.ctl.member(p.inc).Live() {
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
		if rec.owner != p || rec.state != wire.JobOpen {
			continue
		}
		rec.begin(p, dispatch.Job{Takeover: true})
	}
	p.assigned = nil
}
