package dispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// pendingBatch is a batch whose caller waits for the answer.
type pendingBatch struct {
	entry    *entryProc
	ended    func(*verdict.Error) // called with the outcome
	resubmit func()               // called when there is no outcome
	key      ids.TaskKey          // of the first task
	accepted bool                 // the entry has taken it in
	left     bool                 // the caller has its answer or no longer waits
}

// leave ends the wait. It returns false if it had ended.
func (p *pendingBatch) leave() bool {
	waited := !p.left
	p.left = true
	return waited
}

func (p *pendingBatch) answer(err *verdict.Error) {
	if p.leave() {
		p.ended(err)
	}
}

// maxRefusedWait bounds the time after which callers repeat a batch that has not run.
const maxRefusedWait = 20 * time.Millisecond

// submitBatch submits a batch at an entry. Its caller submits it again at a random live
// entry if the entry crashes, does not answer or answers that the batch may have run.
func (b *batchSimulation) submitBatch(name string, e *entryProc, tasks int, runTime time.Duration, resubmissions int) {
	if !e.alive {
		return
	}
	classRunTime := runTime
	e.requestSeq += uint64(tasks)
	key := ids.RequestOf(e.incarnation, e.requestSeq-uint64(tasks)+1)
	submittedAt := b.now
	if b.varyRunTimes {
		runTime = b.runTimesOf(name, runTime).declared
	}
	declaredObjective := 60*time.Millisecond + time.Duration(1.6*float64(runTime))
	trueObjective := 60*time.Millisecond + time.Duration(1.6*float64(b.drawTaskWork(name, tasks, runTime)))
	work, err := dispatch.NewWork([]dispatch.Step{{Tasks: tasks, RunTime: runTime, Spec: wire.TaskSpec{Size: wire.Resources{CPU: 1600, Memory: 64}}, Placement: dispatch.Placement{MaxPerWorker: b.figures.size.maxPerWorker}}})
	if err != nil {
		panic(err)
	}
	batch := dispatch.Batch{
		Key: key, Team: "batches", Service: svc, Attempts: 3, Arrived: b.now, Objective: dispatch.Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6}, Deadline: b.now + b.figures.entryDeadline,
		Work:     work,
		Name:     func(_, i int) string { return fmt.Sprintf("%s.%d", name, i) },
		Priority: priorityOf(tasks), Queue: classRunTime.String(),
	}
	resubmit := func() {
		b.noteCaller(name, "has no outcome")
		if resubmissions > 0 {
			b.after(b.figures.repeat, func() {
				b.submitBatch(name, b.randomLiveEntry(), tasks, classRunTime, resubmissions-1)
			})
		}
	}
	ended := func(err *verdict.Error) {
		result := "done"
		if err != nil {
			result = err.Verdict.String()
			b.noteCaller(name, "is answered "+err.Error())
		}
		for i := range tasks {
			if err == nil {
				b.answeredWork += b.taskWork[fmt.Sprintf("%s.%d", name, i)]
			}
		}
		if err == nil && b.now-submittedAt > trueObjective {
			result = "late"
		}
		b.resultCounts[result]++
		if b.ended != nil {
			b.ended(batchEnd{
				class: classRunTime.String(), times: b.runTimes[name], answered: err == nil,
				refused: err != nil && err.Verdict == verdict.NotRun, waited: b.now - submittedAt,
			})
		}
		b.resultsByTaskCount[fmt.Sprint(tasks, " ", result)]++
		if err != nil && err.Verdict == verdict.NotRun {
			b.checkRefusal(name, key, tasks)
		}
		switch {
		case err != nil && err.Verdict == verdict.MayHaveRun:
			resubmit()
		case err != nil && err.Verdict == verdict.NotRun && b.repeatRefused && resubmissions > 0:
			b.after(time.Duration(b.rng.Int64N(int64(maxRefusedWait))), func() {
				b.submitBatch(name, b.randomLiveEntry(), tasks, classRunTime, resubmissions-1)
			})
		case err != nil && err.Verdict == verdict.NotRun && b.now-submittedAt > declaredObjective:
			b.lateRefusals++
		}
	}
	b.sentBatches++
	b.noteCaller(name, fmt.Sprintf("submits at entry %d", e.incarnation))
	p := &pendingBatch{entry: e, key: key, ended: ended, resubmit: resubmit}
	b.callers = append(b.callers, p)
	e.receive(callerSource, func() { b.acceptBatch(e, batch, p) })
	b.after(b.figures.callerTimeout, func() { b.departCaller(p) })
}

func (b *batchSimulation) noteCaller(name, text string) {
	if b.onCaller != nil {
		b.onCaller(name, text)
	}
}

// acceptBatch passes a batch to an entry, which has just read it. The entry ignores it if
// its caller has left by then.
func (b *batchSimulation) acceptBatch(e *entryProc, batch dispatch.Batch, p *pendingBatch) {
	if p.left || b.refuseLeaving(e, p) {
		return
	}
	batch.Arrived, batch.Deadline = b.now, e.leaving.capDeadline(b.now+b.figures.entryDeadline)
	if b.route != nil {
		b.route(e, &batch)
	}
	if err := e.core.Batch(b.now, batch); err != nil {
		p.answer(err)
		return
	}
	p.accepted = true
	b.waitingBatches[batch.Key] = p
	b.tickEntry(e)
}

// departCaller makes a caller without an answer close its connection and submit its
// batch again later.
func (b *batchSimulation) departCaller(p *pendingBatch) {
	if !p.leave() {
		return
	}
	b.callers = slices.DeleteFunc(b.callers, func(o *pendingBatch) bool { return o.left })
	if p.accepted {
		b.after(time.Duration(b.rng.Int64N(int64(b.figures.leases.Notice))), func() { b.cancelBatch(p) })
	}
	p.resubmit()
}

// cancelBatch makes an entry notice that a caller has left.
func (b *batchSimulation) cancelBatch(p *pendingBatch) {
	p.entry.receive(callerSource, func() {
		delete(b.waitingBatches, p.key)
		p.entry.core.CancelRequest(b.now, p.key)
		b.tickEntry(p.entry)
	})
}

// sortedWaitingBatches returns the batches that entries have accepted and not answered.
func (b *batchSimulation) sortedWaitingBatches() []*pendingBatch {
	return slices.SortedFunc(maps.Values(b.waitingBatches), func(p, o *pendingBatch) int {
		return cmp.Or(cmp.Compare(p.key.Entry, o.key.Entry), cmp.Compare(p.key.Index, o.key.Index))
	})
}

// loseCallers breaks the connections of the callers of an entry.
func (b *batchSimulation) loseCallers(e *entryProc) {
	waiting := b.callers
	b.callers = nil
	for _, p := range waiting {
		switch {
		case p.entry != e:
			b.callers = append(b.callers, p)
		case p.leave():
			p.resubmit()
		}
	}
}
