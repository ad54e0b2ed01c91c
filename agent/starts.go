package agent

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/worker"
)

// starts tells from heartbeats, which may arrive late and in any order, which start of the
// worker is the present one. The start that a heartbeat names counts as later only if two
// clocks agree on it: the VM's, which may be set back, and the worker's own, by which a late
// heartbeat shows a start that seems later than it was. Whatever they say, a start goes on to
// send heartbeats while it is up, and one that is over doesn't. So the present start gives
// way to another one that is heard for a while during its silence, and nothing is ignored
// for good.
type starts struct {
	heartbeatInterval time.Duration
	known             []*start
	present           *start // nil if there is none
}

// start is what is known of one start of the worker.
type start struct {
	latest     worker.Announcement
	heardAt    time.Time // when latest arrived
	begunBy    time.Time // the start was no later, by the worker's own clock
	heardSince time.Time // when it was heard first after the present start was heard last, zero if it wasn't
}

const (
	// maxKnownStarts bounds the starts that are remembered.
	maxKnownStarts = 64
	// heardFor, in intervals between heartbeats, is how long another start must be heard
	// during the silence of the present one to take its place. It takes the third heartbeat
	// of a start that is up, and not the late ones that arrive together.
	heardFor = 1.5
	// sequenceValidFor, in the same unit, is how long a Sequence shows a lower one to be late.
	// A start that is up sends higher ones meanwhile, unless the Sequence was wrong.
	sequenceValidFor = 2.5
)

// intervals returns the duration of n intervals between heartbeats.
func (l *starts) intervals(n float64) time.Duration {
	return time.Duration(n * float64(l.heartbeatInterval))
}

// announce records a heartbeat and reports whether it is news of the present start, which
// the heartbeat may have changed.
func (l *starts) announce(now time.Time, a worker.Announcement) bool {
	s, first := l.find(a)
	if a.Sequence < s.latest.Sequence && now.Sub(s.heardAt) < l.intervals(sequenceValidFor) {
		return false
	}
	s.latest, s.heardAt = a, now
	if begunBy := now.Add(-a.Clock); first || begunBy.Before(s.begunBy) {
		s.begunBy = begunBy
	}
	if s != l.present && l.present != nil && !(first && s.follows(l.present)) && !l.outlasts(now, s) {
		return false
	}
	l.present = s
	for _, other := range l.known {
		other.heardSince = time.Time{}
	}
	return true
}

// find returns the start that a heartbeat names, and whether it is the first one of it.
func (l *starts) find(a worker.Announcement) (s *start, first bool) {
	if i := slices.IndexFunc(l.known, func(s *start) bool { return s.latest.SameInstance(a) }); i >= 0 {
		return l.known[i], false
	}
	if len(l.known) >= maxKnownStarts {
		oldest := slices.IndexFunc(l.known, func(s *start) bool { return s != l.present })
		l.known = slices.Delete(l.known, oldest, oldest+1)
	}
	s = &start{latest: a}
	l.known = append(l.known, s)
	return s, true
}

// follows reports whether nothing speaks against s being later than p. A start whose time
// is unknown can't be told from its successor.
func (s *start) follows(p *start) bool {
	if s.latest.Born == 0 || p.latest.Born == 0 {
		return true
	}
	return s.latest.Born > p.latest.Born && !s.begunBy.Before(p.begunBy)
}

// outlasts reports whether s is heard long enough during the silence of the present start
// to take its place.
func (l *starts) outlasts(now time.Time, s *start) bool {
	if s.heardSince.IsZero() {
		s.heardSince = now
		klog.InfoS("agent: Heartbeat of another start of the worker ignored", "worker", s.latest.ID, "born", s.latest.Born,
			"sequence", s.latest.Sequence, "present", l.present.latest.ID, "presentBorn", l.present.latest.Born)
	}
	return now.Sub(s.heardSince) >= l.intervals(heardFor)
}
