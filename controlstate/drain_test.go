package controlstate

import (
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against an operators' drain that ends when a lease does, with the process still
// there, or that goes on for the process that replaces it.
func TestOperatorsDrainLastsUntilTheProcessEnds(t *testing.T) {
	l := newTestLog(t)
	register := func(nonce string, previous ids.Incarnation) ids.Incarnation {
		r := l.apply(Command{Register: &wire.Registration{
			Kind: wire.KindAgent, Node: "a1", Addr: "a1:1", Service: "s", Nonce: nonce, Previous: previous,
		}})
		if r.Err != nil {
			t.Fatal(r.Err)
		}
		return r.Incarnation
	}
	drains := func(inc ids.Incarnation) bool {
		m, _ := l.state.Member(inc)
		return m.Draining
	}
	first := register("first", 0)
	l.apply(Command{Drain: &Drain{Node: "a1", Drain: true}})
	l.apply(Command{Expire: &Expire{Incarnation: first}})
	l.restart()
	second := register("second", first)
	if !drains(second) {
		t.Error("the next incarnation of a drained process accepts tasks")
	}
	if other := register("new process", 0); drains(other) {
		t.Error("a new process is drained")
	}
	l.apply(Command{Drain: &Drain{Node: "a1", Drain: false}})
	if third := register("third", second); drains(second) || drains(third) {
		t.Error("the drain goes on after it was undone")
	}
}
