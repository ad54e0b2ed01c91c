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
// for good. A connection to the worker's address is better evidence than heartbeats: the
// start that it doesn't reach any more is over.
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
	over       bool      // a connection has shown another start in its place
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
	if s != l.present && !l.takesPlace(now, s, first) {
		return false
	}
	l.present = s
	s.over = false
	for _, other := range l.known {
		other.heardSince = time.Time{}
	}
	return true
}

// takesPlace reports whether s, whose heartbeat has arrived, is the present start from now on.
// first says that it was the first heartbeat of s.
func (l *starts) takesPlace(now time.Time, s *start, first bool) bool {
	switch {
	case s.over:
		return l.outlasts(now, s)
	case l.present == nil:
		return true
	}
	return first && s.follows(l.present) || l.outlasts(now, s)
}

// end records that a start is over, because a connection has reached another one. It returns
// false if the start is not the present one. A start that was heard during the silence of
// this one takes its place; otherwise the next heartbeat of any other start decides.
func (l *starts) end(ended worker.Announcement) bool {
	if l.present == nil || !l.present.latest.SameInstance(ended) {
		return false
	}
	l.present.over = true
	l.present = nil
	for _, s := range l.known {
		if !s.over && !s.heardSince.IsZero() && (l.present == nil || s.heardAt.After(l.present.heardAt)) {
			l.present = s
		}
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
			"sequence", s.latest.Sequence, "over", s.over)
	}
	return now.Sub(s.heardSince) >= l.intervals(heardFor)
}
