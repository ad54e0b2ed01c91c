package control

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against forwarding that lets the lease of a member expire at the leader
// when one message is lost, that sends every renewal, or that delays a draining mark
// or the first renewal with a new configuration to the member's regular round.
func TestForwardedRenewals(t *testing.T) {
	const lostAt, length = 30 * time.Second, 60 * time.Second
	kinds := map[ids.Incarnation]wire.Kind{1: wire.KindEntry, 2: wire.KindAgent}
	kind := func(inc ids.Incarnation) wire.Kind { return kinds[inc] }
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		start := time.Unix(1000, 0)
		follower, leader := newLeases(), newLeases()
		leader.extendAll(start)
		rows, lost := map[ids.Incarnation]int{}, 0
		for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
			now := start.Add(at)
			if at%time.Second == offset {
				follower.renew(wire.Renew{Incarnation: 1}, now)
			}
			if at%wire.AgentRenewInterval == offset {
				follower.renew(wire.Renew{Incarnation: 2}, now)
			}
			if at%forwardInterval == 0 {
				items, err := follower.forwardRenewals(now, 0, kind).Unpack()
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range items {
					rows[r.Incarnation]++
					seen := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
					if at < lostAt || lost&int(r.Incarnation) != 0 {
						leader.renew(wire.Renew{Incarnation: r.Incarnation}, seen)
					}
					if at >= lostAt {
						lost |= int(r.Incarnation)
					}
				}
			}
			for inc, k := range kinds {
				if age := now.Sub(leader.startOf(inc)); age > leaseDuration(k)-500*time.Millisecond {
					t.Fatalf("offset %v: %s is %v old at the leader at %v", offset, k, age, at)
				}
			}
		}
		if rows[1] > 60 || rows[2] > 30 {
			t.Errorf("offset %v: %d and %d rows forwarded in %v", offset, rows[1], rows[2], length)
		}
	}
}

// Guards against a changed draining mark, or the first renewal with a new
// configuration, that is delayed to the member's regular round.
func TestUrgentRenewals(t *testing.T) {
	l, now := newLeases(), time.Now()
	kind := func(ids.Incarnation) wire.Kind { return wire.KindAgent }
	round := func(config ids.Version, have ids.Version, draining bool) int {
		l.renew(wire.Renew{Incarnation: 2, Have: have, Draining: draining}, now)
		return l.forwardRenewals(now, config, kind).Len()
	}
	var got []int
	for _, r := range []struct {
		config, have ids.Version
		draining     bool
	}{{0, 3, false}, {0, 3, false}, {5, 3, false}, {5, 6, false}, {5, 7, false}, {5, 7, true}, {5, 7, true}} {
		got = append(got, round(r.config, r.have, r.draining))
	}
	want := []int{0, 1, 0, 1, 0, 1, 0}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("rows forwarded in each round %v, want %v", got, want)
		}
	}
}
