package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against two tasks with one key: the second one would be answered from the row of the
// first and reported as done without having run. The keys of a batch follow its first one.
func TestKeysAreUsedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		seq   uint64
		taken bool
	}{
		"first key of the batch":  {1, false},
		"second key of the batch": {2, false},
		"last key of the batch":   {4, false},
		"next key":                {5, true},
		"later key":               {500, true},
	} {
		f := newBatchFixture(2)
		if err := f.batch(1, Step{Tasks: 4}); err != nil {
			t.Fatal(err)
		}
		if err := f.batch(tc.seq, Step{Tasks: 1}); (err == nil) != tc.taken || err != nil && err.Verdict != verdict.NotRun {
			t.Errorf("batch with the %s: %v", name, err)
		}
	}
}

// Guards against the same between single requests.
func TestKeysOfRequestsAreUsedOnce(t *testing.T) {
	f := newFixture(1)
	for _, tc := range []struct {
		seq   uint64
		taken bool
	}{{7, true}, {7, false}, {3, false}, {8, true}} {
		err := f.Request(f.now, Request{Key: ids.RequestOf(self, tc.seq), Team: "a", Service: svc, Deadline: f.now + time.Second})
		if (err == nil) != tc.taken || err != nil && err.Reason != verdict.KeyReuse {
			t.Errorf("request %d: %v", tc.seq, err)
		}
	}
}

// Guards against keys that are given out a second time after batches were refused.
func TestRefusedBatchUsesNoKeys(t *testing.T) {
	f := newBatchFixture(2)
	if err := f.batch(1, Step{Tasks: 4}); err != nil {
		t.Fatal(err)
	}
	before := f.NextKey()
	for range 2 {
		if err := f.batch(before.Index, Step{Tasks: wire.MaxTasksPerJob, Placement: Placement{Label: "none"}}); err == nil {
			t.Fatal("a batch for which there is no worker was taken in")
		}
	}
	if got := f.NextKey(); got != before || before != ids.RequestOf(self, 5) {
		t.Errorf("the next key is %v, %v before the refusals", got, before)
	}
}
