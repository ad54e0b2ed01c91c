package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// configWorld applies drawn changes to two replicas, of which one is restored from
// snapshots, to a plain model, and to views that follow either replica with a lag.
type configWorld struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	index    uint64
	live     *controlstate.State
	restored *controlstate.State
	bases    []*controlstate.State // from which patches are made; only live is current
	entry    ids.Incarnation
	views    []*View

	revision uint64 // of the last command, taken or not
	inForce  wire.Apply
}

func newConfigWorld(t *testing.T, seed uint64) *configWorld {
	w := &configWorld{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		live: controlstate.New(), restored: controlstate.New(), bases: []*controlstate.State{controlstate.New()},
		views: []*View{{}, {}, {}},
	}
	r := w.apply(controlstate.Command{Register: &wire.Registration{Kind: wire.KindEntry, Node: "e", Addr: "a", Weight: 1, Nonce: "n"}})
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	w.entry = r.Incarnation
	return w
}

// apply applies a command at both replicas and returns the result, which must be equal.
func (w *configWorld) apply(c controlstate.Command) controlstate.Result {
	w.t.Helper()
	w.index++
	data, err := c.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	var results [2]controlstate.Result
	for i, s := range []*controlstate.State{w.live, w.restored} {
		decoded, err := controlstate.Decode(data)
		if err != nil {
			w.t.Fatal(err)
		}
		results[i] = s.Apply(w.index, decoded)
	}
	if fmt.Sprint(results[0].Apply) != fmt.Sprint(results[1].Apply) {
		w.t.Fatalf("seed %d: the replicas answer %+v and %+v", w.seed, results[0].Apply, results[1].Apply)
	}
	return results[0]
}

// drawApply draws a configuration, which may be invalid.
func (w *configWorld) drawApply() wire.Apply {
	n := 5
	if w.rng.IntN(4) == 0 {
		n = 150 // its lists are compressed
	}
	w.revision += uint64(w.rng.IntN(3))
	a := wire.Apply{Revision: w.revision, Expect: wire.AnyVersion}
	for i := range n {
		if w.rng.IntN(3) > 0 {
			a.Pairs = append(a.Pairs, wire.Pair{Key: fmt.Sprintf("queues.q%d.host", i), Value: fmt.Sprint(w.rng.IntN(3))})
		}
	}
	if w.rng.IntN(3) == 0 {
		a.Pairs = append(a.Pairs, wire.Pair{Key: "jobs.max_open", Value: fmt.Sprint(w.rng.IntN(3))}) // 0 is invalid
	}
	slices.SortFunc(a.Pairs, func(a, b wire.Pair) int { return comparePair(a, b.Key) })
	text := w.inForce.Source[:min(len(w.inForce.Source), 300)]
	a.Source = fmt.Appendf(nil, "%d %v %s", a.Revision, a.Pairs, text)
	return a
}

// change sends one drawn configuration as a command, as a whole revision or as a patch
// from a current or an outdated base.
func (w *configWorld) change() {
	a := w.drawApply()
	switch kind := w.rng.IntN(10); {
	case kind == 0:
		a.Revision, a.Source, a.CommandID = 0, nil, fmt.Sprint("c", w.index)
		w.revision = 0
		w.record(a, w.apply(controlstate.Command{Apply: &a}).Apply)
	case a.Revision <= w.inForce.Revision:
	case kind == 1:
		w.record(a, w.apply(controlstate.Command{Apply: &a}).Apply)
	default:
		base := w.live
		if w.rng.IntN(2) == 0 {
			base = w.bases[w.rng.IntN(len(w.bases))]
		}
		p := base.ConfigSource().Patch(a)
		r := w.apply(controlstate.Command{Patch: &p}).Apply
		if base == w.live && r.Err != nil && controlstate.CheckRevision(a) == nil {
			w.t.Fatalf("seed %d: a valid patch from the current base was refused: %v", w.seed, r.Err)
		}
		w.record(a, r)
	}
}

// record updates the model after a command.
func (w *configWorld) record(a wire.Apply, r wire.ApplyReply) {
	if r.Err != nil {
		return
	}
	if controlstate.CheckRevision(a) != nil {
		w.t.Fatalf("seed %d: an invalid configuration was taken", w.seed)
	}
	w.inForce = a
}

// restart restores the second replica from a snapshot, which becomes a base of patches.
func (w *configWorld) restart() {
	data, err := w.live.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	w.restored = w.restore(data)
	w.bases = append(w.bases, w.restore(data))
}

func (w *configWorld) restore(snapshot []byte) *controlstate.State {
	s, err := controlstate.Restore(snapshot)
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// check compares the replicas with the model, and the view that is renewed with the tables.
func (w *configWorld) check() {
	for _, s := range []*controlstate.State{w.live, w.restored} {
		got := s.Configuration()
		var pairs []wire.Pair
		for _, p := range got.Pairs {
			pairs = append(pairs, p.Pair)
		}
		if got.Revision != w.inForce.Revision || string(got.Source) != string(w.inForce.Source) || !slices.Equal(pairs, w.inForce.Pairs) {
			w.t.Fatalf("seed %d: %+v in force, want %+v", w.seed, got, w.inForce)
		}
	}
	i := w.rng.IntN(len(w.views))
	from := []*controlstate.State{w.live, w.restored}[w.rng.IntN(2)]
	reply := wire.RenewReply{Version: ids.Version(w.index)}
	reply.Changes, reply.ReplacesView = from.Changes(w.views[i].Version, w.entry)
	w.views[i] = w.views[i].withReply(reply)
	if v := w.views[i]; !slices.Equal(v.Config, w.inForce.Pairs) || v.ConfigVer != w.live.ConfigVer() {
		w.t.Fatalf("seed %d: view of version %d %v, want %d %v", w.seed, v.ConfigVer, v.Config, w.live.ConfigVer(), w.inForce.Pairs)
	}
}

// Guards against a patch that is applied to another base than it was made from, replicas
// or views that differ, an invalid configuration that is taken, and a valid one that is
// refused.
func TestPatchesGiveTheSameConfigurationEverywhere(t *testing.T) {
	const steps = 60
	seeds := 200
	if testing.Short() {
		seeds = 20
	}
	for seed := range uint64(seeds) {
		w := newConfigWorld(t, seed)
		for range steps {
			w.change()
			if w.rng.IntN(6) == 0 {
				w.restart()
			}
			w.check()
		}
	}
}
