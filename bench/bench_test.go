package bench

import (
	"flag"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// The documented run of 20,000 schedules is
// go test ./bench -run TestPromises -fault-runs 20000 -timeout 60m
var (
	faultRuns = flag.Int("fault-runs", 1050, "number of seeded fault runs")
	faultSeed = flag.Uint64("fault-seed", 0, "first seed of the fault runs")
)

// TestPromises guards against every broken promise under single faults and
// pairs of faults, and against waste above the bound in the same runs.
func TestPromises(t *testing.T) {
	broken, counts := FaultRuns(*faultSeed, *faultRuns)
	t.Logf("%d runs, %d messages, %d wasted", *faultRuns, counts.Messages, counts.Wasted)
	shown := 0
	for seed, list := range broken {
		if shown++; shown <= 10 {
			t.Errorf("seed %d %v: %d violations, first: %v", seed, FaultOptions(seed).Faults, len(list), list[0])
		}
	}
	if len(broken) > 0 {
		t.Errorf("%d of %d runs broke a promise", len(broken), *faultRuns)
	}
}

// TestFormerOwner guards against a former owner that calls a job not-run although
// its new owner ran it: an entry freezes, its jobs are canceled there just before
// its lease runs out, and it handles the cancellations when it wakes.
func TestFormerOwner(t *testing.T) {
	for seed := range uint64(100) {
		o := FaultOptions(seed)
		o.Faults = []Fault{{Kind: EntryFreezes, At: 2 * time.Second, For: wire.EntryLease + 2*time.Second},
			{Kind: CancelWave, At: wire.EntryLease + time.Second}}
		if list := Run(o).Violations; len(list) > 0 {
			t.Errorf("seed %d: %d violations, first: %v", seed, len(list), list[0])
		}
	}
}

// TestTargets guards against missing a bound of design section 1.5.
func TestTargets(t *testing.T) {
	for _, d := range deployments() {
		for _, target := range AllTargets(d) {
			t.Run(d.Name+"/"+strings.ReplaceAll(target.Name, " ", "-"), func(t *testing.T) {
				t.Logf("bound %.3g, measured %.4f", target.Bound, target.Got)
				if !target.Met() {
					t.Errorf("bound %.3g missed: %.4f", target.Bound, target.Got)
				}
			})
		}
	}
}

// TestSameSeed guards against a run that depends on anything but its seed.
func TestSameSeed(t *testing.T) {
	var traces [2]strings.Builder
	for i := range traces {
		o := FaultOptions(77)
		o.Trace = &traces[i]
		Run(o)
	}
	if traces[0].String() != traces[1].String() {
		t.Error("two runs with the same seed differ")
	}
}

// forgetful is an executor that forgets its rows: it starts over when a start
// comes again.
type forgetful struct {
	agentCore
	cfg  executor.Config
	seen map[ids.TaskKey]bool
	at   ids.Version
	rows []wire.Member
}

func (f *forgetful) SetEntries(now time.Duration, at ids.Version, rows []wire.Member) {
	f.at, f.rows = at, rows
	f.agentCore.SetEntries(now, at, rows)
}

func (f *forgetful) Receive(now time.Duration, m wire.Exchange) {
	for _, st := range m.Starts {
		if f.seen[st.Key] {
			f.agentCore = executor.New(f.cfg)
			f.agentCore.SetEntries(now, f.at, f.rows)
			f.agentCore.SetCurrent(true)
			break
		}
		f.seen[st.Key] = true
	}
	f.agentCore.Receive(now, m)
}

// greedy is an executor with more slots than its upstream.
func greedy(c agentCore) agentCore {
	return executor.New(executor.Config{Self: 1, Slots: 100, Connections: 100, LookAhead: 1, AnswerBytes: answerBytes})
}

// faulty changes what an entry's core returns.
type faulty struct {
	entryCore
	change func([]dispatch.Outcome) []dispatch.Outcome
}

func (f *faulty) Tick(now time.Duration) dispatch.Output {
	out := f.entryCore.Tick(now)
	out.Finished = f.change(out.Finished)
	return out
}

// stubborn is an entry that refuses all its open jobs when it wakes after its
// lease has run out.
type stubborn struct {
	entryCore
	open   map[ids.Job]ids.Epoch
	ticked time.Duration
}

func (s *stubborn) Submit(now time.Duration, j dispatch.Job) {
	s.open[j.ID] = j.Epoch
	s.entryCore.Submit(now, j)
}

func (s *stubborn) Tick(now time.Duration) dispatch.Output {
	out := s.entryCore.Tick(now)
	if now-s.ticked > wire.EntryLease {
		out.Finished = nil
		for _, job := range slices.Sorted(maps.Keys(s.open)) {
			out.Finished = append(out.Finished, dispatch.Outcome{Job: job, Epoch: s.open[job], Err: verdict.Refuse(verdict.Stale, "")})
		}
	}
	for _, o := range out.Finished {
		delete(s.open, o.Job)
	}
	s.ticked = now
	return out
}

// blind is an entry that never learns of draining upstreams.
type blind struct{ entryCore }

func (b *blind) SetUpstreams(now time.Duration, rows []wire.Member) {
	for i := range rows {
		rows[i].Draining = false
	}
	b.entryCore.SetUpstreams(now, rows)
}

func (b *blind) Report(now time.Duration, r wire.Report) {
	r.Draining = false
	r.Credit = 8
	b.entryCore.Report(now, r)
}

// TestChecksCanFail guards against checks that pass whatever the cores do: each
// promise is broken by a core with one defect.
func TestChecksCanFail(t *testing.T) {
	outcomes := func(change func([]dispatch.Outcome) []dispatch.Outcome) func(*Options) {
		return func(o *Options) {
			o.wrapEntry = func(c entryCore) entryCore { return &faulty{c, change} }
		}
	}
	each := func(f func(*dispatch.Outcome)) func([]dispatch.Outcome) []dispatch.Outcome {
		return func(list []dispatch.Outcome) []dispatch.Outcome {
			for i := range list {
				f(&list[i])
			}
			return list
		}
	}
	cases := map[Promise]func(*Options){
		StartedTwice: func(o *Options) {
			o.Faults = []Fault{{Kind: LateMessages, At: time.Second, For: 30 * time.Second}}
			o.Load.Length = 30 * time.Second
			o.wrapAgent = func(c agentCore) agentCore {
				return &forgetful{agentCore: c, seen: map[ids.TaskKey]bool{}, cfg: executor.Config{
					Self: 1, Slots: o.Deployment.Slots, Connections: connections, LookAhead: 1, AnswerBytes: answerBytes}}
			}
		},
		SlotsExceeded: func(o *Options) { o.wrapAgent = greedy },
		WorkAfterDrain: func(o *Options) {
			o.Faults = []Fault{{Kind: RollingDrain, At: time.Second}}
			o.wrapEntry = func(c entryCore) entryCore { return &blind{c} }
			o.Deployment.Speeds = []float64{0.1, 0.1, 0.1, 0.1}
		},
		OutcomeTwice: outcomes(func(l []dispatch.Outcome) []dispatch.Outcome { return append(l, l...) }),
		OutcomeMissing: outcomes(func(l []dispatch.Outcome) []dispatch.Outcome {
			return l[:len(l)/2]
		}),
		PartialAnswer: outcomes(each(func(o *dispatch.Outcome) { o.Results = o.Results[:len(o.Results)/2] })),
		WrongAnswer: outcomes(each(func(o *dispatch.Outcome) {
			for i := range o.Results {
				o.Results[i].Body = taskID{}.encode()
			}
		})),
		CorePanicked: outcomes(func([]dispatch.Outcome) []dispatch.Outcome { panic("defect") }),
		FormerOwner: func(o *Options) {
			o.Faults = []Fault{{Kind: EntryFreezes, At: 2 * time.Second, For: wire.EntryLease + 3*time.Second}}
			o.wrapEntry = func(c entryCore) entryCore { return &stubborn{entryCore: c, open: map[ids.Job]ids.Epoch{}} }
		},
		FalseNotRun: outcomes(each(func(o *dispatch.Outcome) { o.Err = verdict.Refuse(verdict.Overloaded, "") })),
	}
	for _, p := range Promises {
		t.Run(strings.ReplaceAll(string(p), " ", "-"), func(t *testing.T) {
			o := FaultOptions(3)
			o.Faults = nil
			cases[p](&o)
			for _, v := range Run(o).Violations {
				if v.Promise == p {
					return
				}
			}
			t.Errorf("the defect was not noticed")
		})
	}
}
