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

// The demo's load: about half of what the upstreams can do.
const (
	loadTime       = 9 * time.Second
	loadInterval   = 25 * time.Millisecond
	singlesPerTick = 2
	maxTasks       = 20
	minRunMS       = 20
	maxRunMS       = 100
)

// Parts that the demo disturbs. The first upstreams are the fastest, so they are busy.
const (
	drainedAgent = 1
	lostAgent    = 0
)

// leaveBound is design invariant 6: nothing new reaches a leaving upstream later.
const leaveBound = 2 * time.Second

// configBound is design invariant 8: a configuration is in force everywhere by then.
const configBound = 4 * time.Second

// stopBound bounds the planned stop of an entry with a job in progress.
const stopBound = 8 * time.Second

// demo is one run of the demonstration.
type demo struct {
	*Cluster
	out    io.Writer
	caller *caller
	rng    *rand.Rand // used by the load loop only
	calls  sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome

	admissions []time.Duration // of submissions without wait

	drainedAt              time.Time         // when the drain was acknowledged
	stoppedAt, restartedAt time.Time         // of the control node
	lostAt                 time.Time         // when the agent of the lost worker had ended
	lostRuns               []upstreamsim.Run // starts at the lost worker
	configTook             time.Duration     // until all members held the change
	configErr              error
	stopErr                error
}

// Demo submits work through all entries of a running cluster, disturbs the
// cluster meanwhile, and prints a table. It returns an error if any promise of
// the design does not hold. The cluster is not usable afterwards.
func Demo(ctx context.Context, c *Cluster, out io.Writer) error {
	d := &demo{Cluster: c, out: out, caller: newCaller(c.Callers()), rng: rand.New(rand.NewPCG(1, 2))}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	script := make(chan error, 1)
	go func() { script <- d.disturb(ctx) }()
	d.load(ctx)
	if err := <-script; err != nil {
		return errors.Wrap(err, "the demo could not be carried out")
	}
	d.step("The load has ended. Waiting for the last answers.")
	d.calls.Wait()
	d.plannedStop(ctx)
	return d.report()
}

func (d *demo) step(format string, args ...any) {
	fmt.Fprintf(d.out, "  "+format+"\n", args...)
}

func (d *demo) record(o outcome) {
	d.mu.Lock()
	d.outcomes = append(d.outcomes, o)
	d.mu.Unlock()
}

// load submits jobs and single requests at a steady rate.
func (d *demo) load(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for n := range int(loadTime / loadInterval) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.send(n, classJob, 1+d.rng.IntN(maxTasks))
		for s := range singlesPerTick {
			kind := classSingle
			if s%2 == 1 {
				kind = classOnce
			}
			d.send(n*singlesPerTick+s, kind, 1)
		}
	}
}

func (d *demo) send(n int, kind class, tasks int) {
	w := d.newWork(fmt.Sprintf("%.3s%d-%d", kind, len(kind), n), kind, tasks)
	entry, team := n%3%len(d.caller.addrs), "centro"
	if n%2 == 1 {
		team = "sur"
	}
	d.calls.Go(func() {
		if kind == classJob {
			d.record(d.submitJob(n, entry, team, w))
			return
		}
		d.record(d.caller.request(entry, team, w))
	})
}

// submitJob submits a job and waits for its end. Every tenth job is submitted
// without wait first, which shows how long its admission takes.
func (d *demo) submitJob(n, entry int, team string, w work) outcome {
	if n%10 != 0 {
		return d.caller.submit(entry, team, w)
	}
	first := d.caller.start(entry, team, w)
	if first.status != fasthttp.StatusAccepted {
		return first
	}
	d.mu.Lock()
	d.admissions = append(d.admissions, first.took)
	d.mu.Unlock()
	o := d.caller.await(first)
	o.sent = first.sent
	o.took += first.took
	return o
}

func (d *demo) newWork(marker string, kind class, tasks int) work {
	w := work{marker: marker, class: kind}
	for range tasks {
		w.runMS = append(w.runMS, minRunMS+d.rng.Float64()*(maxRunMS-minRunMS))
	}
	return w
}

// evenWork is work whose tasks all run equally long.
func evenWork(marker string, kind class, tasks int, run time.Duration) work {
	w := work{marker: marker, class: kind}
	for range tasks {
		w.runMS = append(w.runMS, float64(run.Milliseconds()))
	}
	return w
}

// disturb carries out the disturbances one after the other.
func (d *demo) disturb(ctx context.Context) error {
	for _, f := range []func(context.Context) error{
		d.resubmit, d.infeasible, d.cancelJob, d.drainUpstream, d.stopLeader, d.loseWorker, d.changeConfig,
	} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, t time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t):
		return nil
	}
}

// resubmit submits a job and, while it runs, submits it again at the other entry.
func (d *demo) resubmit(ctx context.Context) error {
	d.step("A caller submits a job and, at once, the same job to the other entry.")
	w := evenWork("resubmitted", classResent, 30, 150*time.Millisecond)
	w.key = "demo-key"
	d.calls.Go(func() { d.record(d.caller.submit(0, "centro", w)) })
	if err := pause(ctx, 100*time.Millisecond); err != nil {
		return err
	}
	d.calls.Go(func() { d.record(d.caller.submit(1, "centro", w)) })
	return nil
}

// infeasible submits a job that declares more time than its service allows.
func (d *demo) infeasible(context.Context) error {
	d.step("A caller submits a job that no upstream can ever run.")
	w := evenWork("infeasible", classNoWay, 5, 50*time.Millisecond)
	w.declared = 20 * time.Duration(d.opts.Config.Services[Service].Timeout)
	d.record(d.caller.submit(0, "sur", w))
	return nil
}

// cancelJob cancels a job while some of its tasks run.
func (d *demo) cancelJob(ctx context.Context) error {
	d.step("A caller cancels a job of 400 tasks.")
	w := evenWork("cancelled", classCancel, 400, 400*time.Millisecond)
	o := d.caller.start(0, "sur", w)
	if o.job == 0 {
		d.record(o)
		return nil
	}
	if err := pause(ctx, 300*time.Millisecond); err != nil {
		return err
	}
	d.record(d.caller.cancel(o))
	return nil
}

func (d *demo) drainUpstream(ctx context.Context) error {
	d.step("An operator drains %s.", AgentNode(drainedAgent))
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
	d.step("The leading control node, %s, stops for 2 s.", controlNode(i))
	if err := d.StopControl(i); err != nil {
		return err
	}
	d.stoppedAt = time.Now()
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	d.restartedAt = time.Now()
	return d.StartControl(ctx, i)
}

// loseWorker ends an agent and its upstream, as the loss of their VM does.
func (d *demo) loseWorker(ctx context.Context) error {
	// Tasks that outlast the time between the look and the loss.
	w := evenWork("long", classJob, 8*len(d.opts.Speeds), time.Second)
	d.calls.Go(func() { d.record(d.caller.submit(0, "centro", w)) })
	err := d.await(ctx, "work at the worker that is lost", func() bool {
		return runningOf(d.Upstream(lostAgent).Runs(), w) > 0
	})
	if err != nil {
		return err
	}
	d.step("The VM of %s is lost.", AgentNode(lostAgent))
	if err := d.StopAgent(lostAgent); err != nil {
		return err
	}
	d.lostAt = time.Now()
	lost := d.Upstream(lostAgent)
	d.calls.Go(func() {
		_ = d.StopUpstream(lostAgent) // lets running requests end, which nobody sees
		d.lostRuns = lost.Runs()
	})
	return nil
}

// runningOf returns how many tasks of w run.
func runningOf(runs []upstreamsim.Run, w work) int {
	n := 0
	for _, r := range runs {
		if r.Ended.IsZero() && strings.HasPrefix(r.Path, w.prefix()) {
			n++
		}
	}
	return n
}

// changeConfig applies a configuration and measures how long it takes to reach
// every member that is alive.
func (d *demo) changeConfig(ctx context.Context) error {
	// The lost agent counts as a member until its lease has run out.
	if err := d.awaitExpiry(ctx); err != nil {
		return err
	}
	d.step("An operator changes the tradeoff.")
	conf := d.opts.Config
	conf.Dispatch.Tradeoff = 0.7
	begin := time.Now()
	index, err := d.Apply(ctx, conf)
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	d.configErr = d.await(ctx, "the change at every member", func() bool {
		st, err := d.client.Status(ctx, wire.Status{Index: index})
		return err == nil && st.Live > 0 && st.Holding == st.Live || time.Since(begin) > 2*configBound
	})
	d.configTook = time.Since(begin)
	return nil
}

func (d *demo) awaitExpiry(ctx context.Context) error {
	return d.await(ctx, "the end of the lost agent's lease", func() bool {
		st, err := d.client.Status(ctx, wire.Status{})
		if err != nil {
			return false
		}
		return !liveNode(st, AgentNode(lostAgent))
	})
}

func liveNode(st wire.StatusReply, node ids.Node) bool {
	for _, m := range st.Members {
		if m.Node == node && m.Live() {
			return true
		}
	}
	return false
}

// plannedStop drains an entry while a job is in progress.
func (d *demo) plannedStop(ctx context.Context) {
	last := len(d.entries) - 1
	d.step("%s stops as planned, with a job in progress.", entryNode(last))
	w := evenWork("leaving", classLeaving, 20, 300*time.Millisecond)
	d.calls.Go(func() { d.record(d.caller.submit(last, "centro", w)) })
	if d.stopErr = pause(ctx, 150*time.Millisecond); d.stopErr != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	d.stopErr = d.DrainEntry(ctx, last)
	d.calls.Wait()
}
