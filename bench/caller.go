package bench

import (
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Behaviour of callers.
const (
	resubmitDelay = 100 * time.Millisecond // after a lost connection
	pollInterval  = 500 * time.Millisecond // of a resubmission that waits for the owner
	maxAttempts   = 20
)

// caller sends one submission and waits for its outcome.
type caller struct {
	c         *Cluster
	sub       *Submission
	at        *process // entry that it is connected to, nil for none
	prefer    int      // entry that it tries next
	attempts  int
	admission *jobRecord  // under the current job key; a job that ended not-run is sent under a new one
	rec       *jobRecord  // what the caller has heard of the admission
	key       ids.TaskKey // of the latest single request
	done      bool
	record    Record
}

// submit connects to an entry and sends the submission.
func (cl *caller) submit() {
	c := cl.c
	if cl.done {
		return
	}
	e := c.reachable(cl.prefer)
	if e == nil {
		cl.retry(verdict.Refuse(verdict.ConnectionFailed, "no entry").After(pollInterval))
		return
	}
	cl.at = e
	cl.attempts++
	c.after(c.opts.Deployment.ClientLatency, func() {
		e.input(func() { cl.arrive(e) })
	})
}

// arrive hands the submission to the core of an entry.
func (cl *caller) arrive(e *process) {
	c, s := cl.c, cl.sub
	spec := c.spec(s)
	if !s.Single {
		if err := e.entry.Admit(c.now, spec); err != nil {
			cl.reply(e, err)
		} else {
			cl.admit(e)
		}
		return
	}
	e.seq++
	key := ids.RequestOf(e.inc, e.seq)
	err := e.entry.Request(c.now, dispatch.Request{Key: key, Team: spec.Team, Service: spec.Service,
		Spec: specs(s)[0], Idempotent: s.Idempotent, Deadline: s.Deadline})
	if err != nil {
		cl.reply(e, err)
		return
	}
	e.requests[key] = cl
	cl.key = key
	c.check.owes(e, key, 0)
}

// admit asks the control group for the job's record and submits the job.
func (cl *caller) admit(e *process) {
	c := cl.c
	if e.cut {
		c.after(time.Second, func() {
			cl.reply(e, verdict.Refuse(verdict.NoQuorum, "no control node").After(pollInterval))
		})
		return
	}
	c.after(c.opts.Deployment.Commit/2, func() {
		rec, duplicate := c.ctl.admit(e, cl)
		c.tracef("control admits submission %d at entry %d as job %d, duplicate %v", cl.sub.ID, e.inc, rec.id, duplicate)
		c.after(c.opts.Deployment.Commit/2, func() {
			e.input(func() { cl.admitted(e, rec, duplicate) })
		})
	})
}

// admitted submits a new job to its owner, or joins the first submission.
func (cl *caller) admitted(e *process, rec *jobRecord, duplicate bool) {
	cl.rec = rec
	if duplicate {
		cl.join(e)
		return
	}
	if rec.owner != e {
		return // the entry lost the job before it heard of the admission
	}
	rec.begin(e, dispatch.Job{Specs: specs(cl.sub)})
}

// join waits at entry e for a job that was submitted before, and supplies its
// bodies to a new owner.
func (cl *caller) join(e *process) {
	c, rec := cl.c, cl.rec
	if cl.done || cl.at != e || e.dead {
		return
	}
	if rec.state != wire.JobOpen {
		err := rec.err
		if err == nil && rec.owner.dead {
			err = verdict.Failed(verdict.AnswerExpired, "the owner has ended")
		}
		cl.reply(e, err)
		return
	}
	if o := rec.owner; rec.begun && !rec.bodied && !o.dead && !o.frozen {
		c.after(c.opts.Deployment.DomainLatency, func() {
			o.input(func() { rec.bodied = o.entry.Bodies(c.now, rec.id, specs(cl.sub)) == nil })
		})
	}
	c.after(pollInterval, func() { cl.join(e) })
}

// finished takes an outcome from the core of an entry to its caller.
func (c *Cluster) finished(p *process, o dispatch.Outcome) {
	c.tracef("entry %d finishes job %d request %v epoch %d: %v", p.inc, o.Job, o.Request, o.Epoch, o.Err)
	if o.Job == 0 {
		cl := p.requests[o.Request]
		c.check.outcome(o, cl.sub, false)
		cl.reply(p, o.Err)
		return
	}
	rec := c.ctl.byID[o.Job]
	c.check.outcome(o, rec.caller.sub, rec.owner != p)
	if !p.cut {
		c.ctl.complete(p, o)
	}
	rec.caller.reply(p, o.Err)
}

// reply brings the result of an attempt to the caller, unless it has left the entry.
func (cl *caller) reply(e *process, err *verdict.Error) {
	c := cl.c
	if cl.at == nil || e.frozen || cl.at.frozen {
		return
	}
	d := c.opts.Deployment.ClientLatency
	if cl.at != e {
		d += c.opts.Deployment.DomainLatency
	}
	at := cl.at
	c.after(d, func() {
		if cl.done || cl.at != at {
			return
		}
		c.tracef("caller of submission %d gets %v", cl.sub.ID, err)
		if err == nil || err.Verdict != verdict.NotRun {
			cl.finish(err)
			return
		}
		c.refusals[err.Reason]++
		cl.retry(err)
	})
}

// retry submits again after a refusal, as long as the deadline allows it.
func (cl *caller) retry(err *verdict.Error) {
	c := cl.c
	if err.RetryAfter == 0 || c.now+err.RetryAfter >= cl.sub.Deadline || cl.attempts >= maxAttempts {
		cl.finish(err)
		return
	}
	if cl.rec != nil && cl.rec.err != nil && cl.rec.err.Verdict == verdict.NotRun {
		cl.admission, cl.rec = nil, nil
	}
	if err.Reason != verdict.Overloaded {
		cl.prefer++
	}
	cl.at = nil
	c.after(err.RetryAfter, cl.submit)
}

// lost is called when the entry that the caller is connected to has ended or
// stopped answering. A job is submitted again under its key. A single request
// may have run, so only an idempotent one is sent again.
func (cl *caller) lost() {
	cl.at = nil
	cl.prefer++
	if cl.sub.Single && !cl.sub.Idempotent {
		cl.finish(verdict.Unknown(verdict.ConnectionFailed, "the entry is gone"))
		return
	}
	cl.c.after(resubmitDelay, cl.submit)
}

// cancel asks for the end of the job or request.
func (cl *caller) cancel() {
	if e, key := cl.at, cl.key; cl.sub.Single && !cl.done && e != nil && key.Entry == e.inc {
		cl.c.after(cl.c.opts.Deployment.ClientLatency, func() {
			e.input(func() { e.entry.CancelRequest(cl.c.now, key) })
		})
		return
	}
	if cl.done || cl.rec == nil || cl.rec.state != wire.JobOpen || !cl.rec.begun {
		return
	}
	o, id := cl.rec.owner, cl.rec.id
	cl.c.after(cl.c.opts.Deployment.ClientLatency, func() {
		o.input(func() { o.entry.Cancel(cl.c.now, id) })
	})
}

// finish records the outcome, nil for a complete answer.
func (cl *caller) finish(err *verdict.Error) {
	cl.done = true
	cl.c.open--
	cl.record.Ended = cl.c.now
	cl.record.Complete = err == nil
	if err != nil {
		cl.record.Reason, cl.record.Verdict = err.Reason, err.Verdict
	}
}

// specs returns the tasks of a submission. Each body names its task.
func specs(s *Submission) []wire.TaskSpec {
	list := make([]wire.TaskSpec, len(s.Work))
	for i := range list {
		list[i] = wire.TaskSpec{Method: "POST", Path: "/", Body: taskID{uint32(s.ID), uint32(i)}.encode()}
	}
	return list
}
