package executor

import (
	"math"
	"time"
)

// allocateCredit computes how many tasks each connected entry may have at the agent.
// It divides slots and look-ahead by max-min fairness over the entries' needs (held
// and waiting tasks). Unneeded credit is granted to every entry, so that an idle entry
// can start a task at once. Each entry gets at least one unit: without any it could
// never show its demand.
func (c *Core) allocateCredit() {
	for _, s := range c.sortedSessions {
		s.credit = 0
	}
	if c.draining() || c.upstreamDown || c.concurrencyLimit() == 0 {
		return
	}
	left := c.concurrencyLimit() + c.cfg.LookAhead
	entries := c.connectedSessions()
	pending := entries
	for len(pending) > 0 {
		share := max(left/len(pending), 1)
		var unmet []*session
		met := 0
		for _, s := range pending {
			if need := s.heldCount + s.demand; need <= share {
				s.credit = need
				met += need
				continue
			}
			unmet = append(unmet, s)
		}
		left -= met
		if len(unmet) == len(pending) {
			c.splitEqually(unmet, left)
			left = 0
			break
		}
		pending = unmet
	}
	for _, s := range entries {
		s.credit = max(s.credit+max(left, 0), 1)
	}
}

// splitEqually divides left among the entries. The first ones get the remainder.
func (c *Core) splitEqually(entries []*session, left int) {
	left = max(left, 0)
	for i, s := range entries {
		s.credit = left / len(entries)
		if i < left%len(entries) {
			s.credit++
		}
	}
}

// connectedSessions returns the sessions of live, connected entries.
func (c *Core) connectedSessions() []*session {
	var list []*session
	for _, s := range c.sortedSessions {
		if s.connected && c.liveEntries[s.entry] {
			list = append(list, s)
		}
	}
	return list
}

// The values of creditReportDelay at tradeoff 0 and 1. Most outdated credit is
// corrected earlier by a report that is sent for another reason. A shorter delay
// shortens response times and costs messages.
const (
	maxCreditReportDelay = 2 * time.Second
	minCreditReportDelay = 20 * time.Millisecond
)

// SetTradeoff sets the tradeoff between few messages (0) and fast answers (1). The
// delay of credit reports is interpolated geometrically.
func (c *Core) SetTradeoff(t float64) {
	t = min(max(t, 0), 1)
	ratio := float64(minCreditReportDelay) / float64(maxCreditReportDelay)
	c.creditReportDelay = time.Duration(float64(maxCreditReportDelay) * math.Pow(ratio, t))
}

// needsReport reports whether a report must be sent to s now. A change of credit alone
// is reported once the entry has been wrong for creditReportDelay about whether the
// upstream accepts its tasks.
func (c *Core) needsReport(now time.Duration, s *session) bool {
	if s.reportDue || len(s.pendingAnswers)+len(s.detachedAnswers)+len(s.startedKeys) > 0 {
		return true
	}
	if s.reportedDraining != c.draining() || s.reportedDown != c.upstreamDown {
		return true
	}
	accepts := c.acceptsFrom(s)
	if c.seenAccepting(s) == accepts {
		s.creditStaleSince = 0
		return false
	}
	if s.creditStaleSince == 0 {
		s.creditStaleSince = now
	}
	return now-s.creditStaleSince >= c.creditReportDelay
}

// acceptsFrom reports whether a new task of the entry would start at once.
func (c *Core) acceptsFrom(s *session) bool {
	return s.credit > s.heldCount && c.running+c.queued < c.concurrencyLimit()
}

// seenAccepting reports whether the entry expects a new task to start at once, given
// the last report and its own tasks.
func (c *Core) seenAccepting(s *session) bool {
	return s.reportedCredit > s.heldCount && s.reportedOthers+s.heldCount < c.concurrencyLimit()
}

// nextCreditReport returns when the next report about credit alone is due.
func (c *Core) nextCreditReport() time.Duration {
	var next time.Duration
	for _, s := range c.sortedSessions {
		if s.connected && s.creditStaleSince != 0 {
			next = earliest(next, s.creditStaleSince+c.creditReportDelay)
		}
	}
	return next
}
