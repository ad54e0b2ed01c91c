package controlstate

import (
	"testing"

	"github.com/baobabshore/baobabshore/wire"
)

// Guards against an older configuration that takes effect again when it is repeated
// or arrives late, against other content under the current revision, and against a
// source text that is lost in a restart.
func TestHighestRevisionWins(t *testing.T) {
	l := newTestLog(t)
	send := func(revision uint64, value string) wire.ApplyReply {
		return l.apply(Command{Apply: &wire.Apply{
			Revision: revision, Source: []byte("text " + value), Pairs: []wire.Pair{{Key: "k", Value: value}},
		}}).Apply
	}
	for _, tc := range []struct {
		revision uint64
		value    string
		inForce  uint64
		want     string
	}{
		{5, "five", 5, "five"},
		{3, "three", 5, "five"}, // arrives late
		{5, "five", 5, "five"},  // repeated
		{5, "other", 5, "five"}, // other content under the same revision
		{9, "nine", 9, "nine"},
		{5, "five", 9, "nine"},
	} {
		r := send(tc.revision, tc.value)
		if r.Err != nil || r.Revision != tc.inForce {
			t.Errorf("revision %d: %+v, want an acknowledgement with revision %d", tc.revision, r, tc.inForce)
		}
		if c := l.state.Configuration(); c.Revision != tc.inForce || string(c.Source) != "text "+tc.want || c.Pairs[0].Value != tc.want {
			t.Errorf("after revision %d: %+v, want %s", tc.revision, c, tc.want)
		}
	}
	l.restart()
	if c := l.state.Configuration(); c.Revision != 9 || string(c.Source) != "text nine" {
		t.Errorf("after a restart: %+v", c)
	}
	if r := send(8, "eight"); r.Revision != 9 {
		t.Errorf("an older revision after a restart: %+v", r)
	}
}

// Guards against a configuration that is refused but takes effect nevertheless.
func TestRefusedRevisionChangesNothing(t *testing.T) {
	l := newTestLog(t)
	l.apply(Command{Apply: &wire.Apply{Revision: 1, Pairs: []wire.Pair{{Key: "k", Value: "1"}}}})
	for name, a := range map[string]wire.Apply{
		"a key twice": {Revision: 2, Pairs: []wire.Pair{{Key: "k", Value: "2"}, {Key: "k", Value: "3"}}},
		"a long text": {Revision: 2, Source: make([]byte, MaxSourceBytes+1)},
	} {
		r := l.apply(Command{Apply: &a}).Apply
		if c := l.state.Configuration(); r.Err == nil || c.Revision != 1 || c.Pairs[0].Value != "1" {
			t.Errorf("%s: %+v, %+v in force", name, r, c)
		}
	}
}
