package devcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// The load of the demo takes about half of the upstreams' capacity.
const (
	loadDuration   = 9 * time.Second
	loadInterval   = 25 * time.Millisecond
	singlesPerTick = 2
	maxTasks       = 20
	minRunMS       = 20
	maxRunMS       = 100
)

// Indices of the agents that the demo drains and loses. The first upstreams are the
// fastest, so they are busy when that happens.
const (
	drainedAgent = 1
	lostAgent    = 0
)

// maxDrainDelay is the bound of design invariant 6: no task starts on a draining
// upstream later than this after the drain.
const maxDrainDelay = 2 * time.Second

// maxConfigDelay is the bound of design invariant 8: every member has a configuration
// in force within this time.
const maxConfigDelay = 4 * time.Second

// plannedStopTimeout limits the planned stop of an entry that has a job in progress.
const plannedStopTimeout = 8 * time.Second

// demo is the state of one demo run.
type demo struct {
	*Cluster
	out          io.Writer
	caller       *caller
	rng          *rand.Rand // used by generateLoad only; not safe for concurrent use
	pendingCalls sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome

	admissionTimes []time.Duration // response times of submissions that don't wait for the job

	drainedAt                          time.Time         // when the drain was acknowledged
	leaderStoppedAt, leaderRestartedAt time.Time         // of the leading control node
	lostAt                             time.Time         // when the lost agent had stopped
	lostRuns                           []upstreamsim.Run // task runs on the lost agent's upstream
	configDelay                        time.Duration     // from applying the change until all members held it
	configErr                          error
	plannedStopErr                     error
}

// Demo submits jobs and requests through all entries of a running cluster, drains,
// stops and crashes nodes at the same time, and prints the outcomes. It returns an
// error if any promise of the design does not hold. The cluster is not usable
// afterwards.
func Demo(ctx context.Context, c *Cluster, out io.Writer) error {
	d := &demo{Cluster: c, out: out, caller: newCaller(c.CallerAddresses()), rng: rand.New(rand.NewPCG(1, 2))}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scenariosDone := make(chan error, 1)
	go func() { scenariosDone <- d.runScenarios(ctx) }()
	d.generateLoad(ctx)
	if err := <-scenariosDone; err != nil {
		return errors.Wrap(err, "run the demo scenarios")
	}
	d.printStep("The load has ended. Waiting for the remaining answers.")
	d.pendingCalls.Wait()
	d.stopEntryAsPlanned(ctx)
	return d.report()
}

func (d *demo) printStep(format string, args ...any) {
	fmt.Fprintf(d.out, "  "+format+"\n", args...)
}

func (d *demo) recordOutcome(o outcome) {
	d.mu.Lock()
	d.outcomes = append(d.outcomes, o)
	d.mu.Unlock()
}

// generateLoad submits jobs and single requests at a steady rate.
func (d *demo) generateLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for n := range int(loadDuration / loadInterval) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.sendLoad(n, classJob, 1+d.rng.IntN(maxTasks))
		for s := range singlesPerTick {
			kind := classSingle
			if s%2 == 1 {
				kind = classNonIdempotent
			}
			d.sendLoad(n*singlesPerTick+s, kind, 1)
		}
	}
}

// sendLoad sends workload n of a class in the background. The entry and the team
// follow from n.
func (d *demo) sendLoad(n int, kind class, tasks int) {
	w := d.randomWorkload(fmt.Sprintf("%.3s%d-%d", kind, len(kind), n), kind, tasks)
	entry, team := n%3%len(d.caller.addrs), "centro"
	if n%2 == 1 {
		team = "sur"
	}
	d.pendingCalls.Go(func() {
		if kind == classJob {
			d.recordOutcome(d.submitJob(n, entry, team, w))
			return
		}
		d.recordOutcome(d.caller.sendRequest(entry, team, w))
	})
}

// submitJob submits a job and waits until it ends. Every tenth job is submitted
// without waiting first, to measure the time of its admission.
func (d *demo) submitJob(n, entry int, team string, w workload) outcome {
	if n%10 != 0 {
		return d.caller.submit(entry, team, w)
	}
	first := d.caller.submitAsync(entry, team, w)
	if first.status != fasthttp.StatusAccepted {
		return first
	}
	d.mu.Lock()
	d.admissionTimes = append(d.admissionTimes, first.responseTime)
	d.mu.Unlock()
	o := d.caller.awaitJob(first)
	o.sentAt = first.sentAt
	o.responseTime += first.responseTime
	return o
}

// randomWorkload returns a workload whose tasks have random run times. It uses rng,
// so only generateLoad may call it.
func (d *demo) randomWorkload(marker string, kind class, tasks int) workload {
	w := workload{marker: marker, class: kind}
	for range tasks {
		w.runTimesMS = append(w.runTimesMS, minRunMS+d.rng.Float64()*(maxRunMS-minRunMS))
	}
	return w
}

// uniformWorkload returns a workload whose tasks all have the same run time.
func uniformWorkload(marker string, kind class, tasks int, run time.Duration) workload {
	w := workload{marker: marker, class: kind}
	for range tasks {
		w.runTimesMS = append(w.runTimesMS, float64(run.Milliseconds()))
	}
	return w
}

// runScenarios runs the scenarios one after another, while generateLoad runs.
func (d *demo) runScenarios(ctx context.Context) error {
	for _, scenario := range []func(context.Context) error{
		d.resubmit, d.submitInfeasible, d.cancelJob, d.drainUpstream, d.stopLeader, d.loseWorker, d.changeConfig,
	} {
		if err := scenario(ctx); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, t time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t):
		return nil
	}
}

// resubmit submits a job and, while it runs, submits it again to the other entry.
func (d *demo) resubmit(ctx context.Context) error {
	d.printStep("A caller submits a job and, while it runs, submits it again to the other entry.")
	w := uniformWorkload("resubmitted", classResubmitted, 30, 150*time.Millisecond)
	w.key = "demo-key"
	d.pendingCalls.Go(func() { d.recordOutcome(d.caller.submit(0, "centro", w)) })
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return err
	}
	d.pendingCalls.Go(func() { d.recordOutcome(d.caller.submit(1, "centro", w)) })
	return nil
}

// submitInfeasible submits a job whose declared run time exceeds the timeout of its
// service.
func (d *demo) submitInfeasible(context.Context) error {
	d.printStep("A caller submits a job whose declared run time exceeds the timeout of the service.")
	w := uniformWorkload("infeasible", classInfeasible, 5, 50*time.Millisecond)
	w.declaredRunTime = 20 * time.Duration(d.opts.Config.Services[Service].Timeout)
	d.recordOutcome(d.caller.submit(0, "sur", w))
	return nil
}

// cancelJob cancels a job while some of its tasks are running.
func (d *demo) cancelJob(ctx context.Context) error {
	d.printStep("A caller cancels a job of 400 tasks.")
	w := uniformWorkload("cancelled", classCancelled, 400, 400*time.Millisecond)
	o := d.caller.submitAsync(0, "sur", w)
	if o.job == 0 {
		d.recordOutcome(o)
		return nil
	}
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return err
	}
	d.recordOutcome(d.caller.cancel(o))
	return nil
}

// drainUpstream drains an agent, hence its upstream.
func (d *demo) drainUpstream(ctx context.Context) error {
	d.printStep("An operator drains %s.", AgentNode(drainedAgent))
	if err := d.client.Drain(ctx, AgentNode(drainedAgent), true); err != nil {
		return errors.Wrap(err, "drain")
	}
	d.drainedAt = time.Now()
	return nil
}

// stopLeader stops the leading control node for two seconds.
func (d *demo) stopLeader(ctx context.Context) error {
	i, err := d.Leader(ctx)
	if err != nil {
		return err
	}
	d.printStep("The leading control node, %s, stops for 2 s.", controlNode(i))
	if err := d.StopControl(i); err != nil {
		return err
	}
	d.leaderStoppedAt = time.Now()
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	d.leaderRestartedAt = time.Now()
	return d.StartControl(ctx, i)
}

// loseWorker stops an agent and its upstream without a drain, as the loss of their
// VM does.
func (d *demo) loseWorker(ctx context.Context) error {
	// The tasks run long enough that some are still running when the agent stops
	// after the check.
	w := uniformWorkload("long", classJob, 8*len(d.opts.Speeds), time.Second)
	d.pendingCalls.Go(func() { d.recordOutcome(d.caller.submit(0, "centro", w)) })
	err := d.await(ctx, "a task runs on the upstream of the agent to be lost", func() bool {
		return countRunning(d.Upstream(lostAgent).Runs(), w) > 0
	})
	if err != nil {
		return err
	}
	d.printStep("The VM of %s is lost.", AgentNode(lostAgent))
	if err := d.StopAgent(lostAgent); err != nil {
		return err
	}
	d.lostAt = time.Now()
	lost := d.Upstream(lostAgent)
	d.pendingCalls.Go(func() {
		_ = d.StopUpstream(lostAgent) // lets running requests end; their answers reach no caller
		d.lostRuns = lost.Runs()
	})
	return nil
}

// countRunning returns how many tasks of w are running.
func countRunning(runs []upstreamsim.Run, w workload) int {
	n := 0
	for _, r := range runs {
		if r.Ended.IsZero() && strings.HasPrefix(r.Path, w.prefix()) {
			n++
		}
	}
	return n
}

// changeConfig applies a configuration and measures how long it takes to reach
// every live member.
func (d *demo) changeConfig(ctx context.Context) error {
	// The lost agent counts as a live member until its lease expires.
	if err := d.awaitLeaseExpiry(ctx); err != nil {
		return err
	}
	d.printStep("An operator changes the setting dispatch.tradeoff.")
	conf := d.opts.Config
	conf.Dispatch.Tradeoff = 0.7
	begin := time.Now()
	index, err := d.Apply(ctx, conf)
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	d.configErr = d.await(ctx, "every member holds the change", func() bool {
		st, err := d.client.Status(ctx, wire.Status{Index: index})
		return err == nil && st.Live > 0 && st.Holding == st.Live || time.Since(begin) > 2*maxConfigDelay
	})
	d.configDelay = time.Since(begin)
	return nil
}

func (d *demo) awaitLeaseExpiry(ctx context.Context) error {
	return d.await(ctx, "the lease of the lost agent expires", func() bool {
		st, err := d.client.Status(ctx, wire.Status{})
		if err != nil {
			return false
		}
		return !isNodeLive(st, AgentNode(lostAgent))
	})
}

func isNodeLive(st wire.StatusReply, node ids.Node) bool {
	for _, m := range st.Members {
		if m.Node == node && m.Live() {
			return true
		}
	}
	return false
}

// stopEntryAsPlanned drains the last entry while it has a job in progress.
func (d *demo) stopEntryAsPlanned(ctx context.Context) {
	last := len(d.entries) - 1
	d.printStep("%s is drained and stopped while it has a job in progress.", entryNode(last))
	w := uniformWorkload("leaving", classPlannedStop, 20, 300*time.Millisecond)
	d.pendingCalls.Go(func() { d.recordOutcome(d.caller.submit(last, "centro", w)) })
	if d.plannedStopErr = sleep(ctx, 150*time.Millisecond); d.plannedStopErr != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, plannedStopTimeout)
	defer cancel()
	d.plannedStopErr = d.DrainEntry(ctx, last)
	d.pendingCalls.Wait()
}
