package dispatch

import (
	"strconv"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// retryBurst bounds the retries that can be saved up while none are needed.
	retryBurst = 10
	// hedgeShare is the share of the retry budget that hedges may use at a
	// tradeoff of 1. With the default budget, hedges are at most 2 % of the
	// requests.
	hedgeShare = 0.2
	// maxRequestRetries is how often a single request is retried after failures.
	maxRequestRetries = 2
	// hedgeFactorAtZero and hedgeFactorAtFull are the multiples of the expected
	// run time after which a request is hedged at a tradeoff of 0 and of 1.
	hedgeFactorAtZero, hedgeFactorAtFull = 10.0, 3.0
	// minHedgeDelay is several round trips.
	minHedgeDelay = 10 * time.Millisecond
)

// earnRetryTokens adds a success to the budgets of retries and hedges.
func (c *Core) earnRetryTokens() {
	c.retryTokens = min(c.retryTokens+c.cfg.RetryBudget, retryBurst)
	c.hedgeTokens = min(c.hedgeTokens+c.cfg.RetryBudget*hedgeShare*c.cfg.Tradeoff, retryBurst)
}

// retryOrFailRequest retries an idempotent request within the budget, or ends
// it.
func (c *Core) retryOrFailRequest(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	t := &j.tasks[0]
	j.mayHaveRun = true
	if t.primary != nil {
		return // the other attempt of a hedged request goes on
	}
	if j.idempotent && t.failures < maxRequestRetries && c.retryTokens >= 1 && now < j.deadline && ans.Reason != verdict.Canceled {
		c.retryTokens--
		t.failures++
		t.lastFailedOn = u
		c.messageCounts.Retries++
		c.recordDecision(now, "retry", u.incarnation, j.key, string(ans.Reason))
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
	c.finishJob(now, j, o)
}

// requestReason returns the reason of a failed request.
func requestReason(ans *wire.Answer) verdict.Reason {
	if ans.Reason == "" || ans.Reason == verdict.Complete {
		return verdict.UpstreamFailed
	}
	return ans.Reason
}

// setHedgeTimer schedules the hedge of an idempotent request.
func (c *Core) setHedgeTimer(now time.Duration, a *attempt) {
	j := a.job
	if !j.unrecorded || j.batch != nil || !j.idempotent || a.isHedge || c.cfg.Tradeoff <= 0 || j.svc.taskWork.n < minLearntSamples {
		return
	}
	factor := hedgeFactorAtZero - (hedgeFactorAtZero-hedgeFactorAtFull)*c.cfg.Tradeoff
	delay := max(seconds(factor*j.svc.taskWork.mean*a.target.slowness), minHedgeDelay)
	a.hedgeTimer = c.timers.add(now+delay, &timer{kind: hedgeTimer, hedgedAttempt: a})
}

// hedge starts a second attempt on a free upstream, within the budget. The
// upstream must be no slower than the first one, unless that one is
// disconnected.
func (c *Core) hedge(now time.Duration, a *attempt) {
	j := a.job
	t := &j.tasks[a.taskIndex]
	if j.ended || a.abandoned || t.hedge != nil || t.primary != a || c.hedgeTokens < 1 || j.svc.teamQueues.waitingTasks > 0 {
		return
	}
	u := j.svc.free.cheapestExcept(a.target, c.random())
	if u == nil || u.slowness > a.target.slowness && a.target.connected {
		return
	}
	to, ok := j.assign(a.taskIndex, u)
	if !ok {
		return
	}
	c.hedgeTokens--
	c.messageCounts.Hedges++
	c.recordDecision(now, "hedge", u.incarnation, j.key, "slow answer")
	c.startTask(now, to, false)
}

func itoa(n int) string { return strconv.Itoa(n) }
