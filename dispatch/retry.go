package dispatch

import (
	"strconv"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// retryBurst bounds the retries saved up in quiet times.
	retryBurst = 10
	// hedgeShare is the part of the retry budget that hedges may use at full
	// tradeoff. With the default budget it keeps hedges to 2 % of the requests.
	hedgeShare = 0.2
	// maxFailures is how often a single request is retried after failures.
	maxFailures = 2
	// hedgeSlow and hedgeFast are the multiples of the expected run time after
	// which a request is hedged at tradeoff 0 and 1.
	hedgeSlow, hedgeFast = 10.0, 3.0
	// minHedgeDelay is several round trips.
	minHedgeDelay = 10 * time.Millisecond
)

// earnRetries adds a success to the budgets of retries and hedges.
func (c *Core) earnRetries() {
	c.tokens = min(c.tokens+c.cfg.RetryBudget, retryBurst)
	c.hedges = min(c.hedges+c.cfg.RetryBudget*hedgeShare*c.cfg.Tradeoff, retryBurst)
}

// requestFailed retries an idempotent request within the budget, or ends it.
func (c *Core) requestFailed(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	t := &j.tasks[0]
	j.maybeRan = true
	if t.primary != nil {
		return // the other attempt of a hedged request goes on
	}
	if j.idem && t.failed < maxFailures && c.tokens >= 1 && now < j.deadline && ans.Reason != verdict.Canceled {
		c.tokens--
		t.failed++
		t.avoid = u
		c.msgs.Retries++
		c.decide(now, "retry", u.inc, j.key, string(ans.Reason))
		c.requeue(j, 0)
		return
	}
	o := Outcome{State: wire.JobFailed, Err: &verdict.Error{
		Verdict: ans.Verdict,
		Reason:  requestReason(ans),
		Detail:  "request " + j.key.String() + failureStatus(ans),
	}}
	if ans.Verdict == verdict.Ran && ans.Status > 0 {
		o.Results = []wire.Answer{*ans}
	}
	c.finish(now, j, o)
}

// requestReason is the reason of a failed request.
func requestReason(ans *wire.Answer) verdict.Reason {
	if ans.Reason == "" || ans.Reason == verdict.Complete {
		return verdict.UpstreamFailed
	}
	return ans.Reason
}

// setHedgeTimer plans the hedge of an idempotent request.
func (c *Core) setHedgeTimer(now time.Duration, a *attempt) {
	j := a.job
	if !j.single || j.batch != nil || !j.idem || a.isHedge || c.cfg.Tradeoff <= 0 || j.svc.work.n < learntAfter {
		return
	}
	factor := hedgeSlow - (hedgeSlow-hedgeFast)*c.cfg.Tradeoff
	delay := max(seconds(factor*j.svc.work.mean*a.up.slow), minHedgeDelay)
	a.hedgeTimer = c.timers.add(now+delay, &timer{kind: hedgeTimer, att: a})
}

// hedge starts a second attempt on a free and faster upstream, within the budget.
func (c *Core) hedge(now time.Duration, a *attempt) {
	j := a.job
	t := &j.tasks[a.index]
	if j.ended || a.orphan || t.hedge != nil || t.primary != a || c.hedges < 1 || j.svc.fair.waiting > 0 {
		return
	}
	u := j.svc.free.pick(a.up, c.random())
	if u == nil || u.slow > a.up.slow && a.up.connected {
		return
	}
	c.hedges--
	c.msgs.Hedges++
	c.decide(now, "hedge", u.inc, j.key, "slow answer")
	c.start(now, j, a.index, u, false)
}

func itoa(n int) string { return strconv.Itoa(n) }
