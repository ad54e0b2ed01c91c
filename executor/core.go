package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Core is the state machine of an agent. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	viewVersion ids.Version
	viewCurrent bool
	// creditReportDelay is how long an entry may act on outdated credit before a report
	// is sent for that alone.
	creditReportDelay time.Duration
	leaving           bool // Drain has been called
	drainedByView     bool // the view marks this agent as draining
	upstreamDown      bool

	rows           map[ids.TaskKey]*row
	jobs           map[ids.Job]*job
	liveEntries    map[ids.Incarnation]bool // entries that are live in the view
	sessions       map[ids.Incarnation]*session
	sortedSessions []*session // sorted by incarnation, for deterministic output

	queue   []*row // sorted by urgency, then by arrival
	queued  int
	running int
	// abandonedCalls counts the calls to the upstream that have timed out and have not
	// returned yet. Each still occupies a slot.
	abandonedCalls int
	meanRunTime    time.Duration // moving average of run times, zero until known

	// Resource use of sized tasks.
	runningSize   wire.Resources // of the running tasks, including those being aborted
	queuedSize    wire.Resources
	recentSizes   recentSizes
	runningRows   map[ids.TaskKey]*row
	declaredRatio declaredRatio
	fitness       fitness

	refusalCounts map[verdict.Reason]uint64 // starts refused since New

	acked         []*row // rows with an acknowledged answer body, oldest acknowledgement first
	answerBytes   int64
	pendingAborts []ids.TaskKey
	lastSweepAt   time.Duration
}

// row is the agent's record of one task. It outlives the task so that a duplicate
// start is answered instead of run.
type row struct {
	key             ids.TaskKey
	task            taskIdentity
	epoch           ids.Epoch
	try             uint32
	owner           *session
	team            ids.Team
	state           wire.TaskState
	start           wire.Start // zero once the task has been started or refused
	createdAt       time.Duration
	deadline        time.Duration
	queuedAt        time.Duration // when the start was accepted
	startedAt       time.Duration
	answer          *wire.Answer // set when ended or recalled
	acked           bool
	ackedAt         time.Duration
	answerSentAt    time.Duration // last transmission of the answer
	resends         int
	callAbandoned   bool // the task was answered after a timeout, its call has not returned yet
	size            wire.Resources
	declaredRunTime time.Duration // zero if unknown
	abortQueued     bool          // an abort was added to pendingAborts
	leaseEndAtAbort time.Duration // end of the owner's lease when abortQueued was set
}

// job holds the ownership and the rows of a job.
type job struct {
	epoch         ids.Epoch
	owner         ids.Incarnation
	canceledEpoch ids.Epoch // starts up to this epoch are refused
	rows          []*row
	createdAt     time.Duration
	ended         bool
	endedAt       time.Duration
}

// session is the state that the agent keeps for each entry that has contacted it.
type session struct {
	entry            ids.Incarnation
	connected        bool
	demand           int
	heldCount        int              // queued and running tasks
	heldSize         wire.Resources   // of the tasks in heldCount
	heldByTeam       []wire.TeamTasks // heldCount by team, sorted by name
	credit           int
	reportedCredit   int           // credit in the last report
	reportedOthers   int           // tasks of other entries in the last report
	creditStaleSince time.Duration // since when the last report misleads the entry, zero while it does not
	reportedDraining bool
	reportedDown     bool
	lastReportAt     time.Duration
	pendingAnswers   []*row        // to be sent with the next report
	detachedAnswers  []wire.Answer // answers to starts of tasks that another entry owns
	startedKeys      []ids.TaskKey
	unackedAnswers   []*row        // sent, in order of transmission
	reportDue        bool          // forces a report even if there is no answer to send
	leaseExpiresAt   time.Duration // end of the entry's lease for its sized tasks, zero for none
}

// New returns the core of an agent that has no view yet. It refuses all starts until
// SetEntries has supplied a view that includes the agent's own registration.
func New(cfg Config) *Core {
	c := &Core{
		cfg:           cfg,
		rows:          map[ids.TaskKey]*row{},
		jobs:          map[ids.Job]*job{},
		liveEntries:   map[ids.Incarnation]bool{},
		sessions:      map[ids.Incarnation]*session{},
		runningRows:   map[ids.TaskKey]*row{},
		refusalCounts: map[verdict.Reason]uint64{},
	}
	if c.cfg.Leases == (lease.Times{}) {
		c.cfg.Leases = lease.Default()
	}
	c.SetTradeoff(DefaultTradeoff)
	return c
}

// SetEntries replaces the view, which is complete up to version at. rows may include
// members of any kind. A version older than the current view is ignored.
func (c *Core) SetEntries(now time.Duration, at ids.Version, rows []wire.Member) {
	if at < c.viewVersion {
		return
	}
	c.viewVersion = at
	clear(c.liveEntries)
	drained := false
	for _, m := range rows {
		drained = drained || m.Incarnation == c.cfg.Self && m.Draining
		if m.Kind == wire.KindEntry && m.Live() {
			c.liveEntries[m.Incarnation] = true
		}
	}
	c.pruneSessions()
	c.drainedByView = drained
	if drained {
		c.refuseQueued(verdict.Draining)
	}
}

// draining reports whether the agent refuses queued and new tasks: it is leaving, or
// operators drain it or its failure domain. An entry whose view is older goes on sending
// tasks for a while.
func (c *Core) draining() bool { return c.leaving || c.drainedByView }

// SetCurrent sets whether the view is confirmed as current.
func (c *Core) SetCurrent(viewCurrent bool) { c.viewCurrent = viewCurrent }

// SetDown sets whether the upstream is unreachable. Queued and new tasks are refused
// while it is.
func (c *Core) SetDown(now time.Duration, upstreamDown bool) {
	c.upstreamDown = upstreamDown
	if upstreamDown {
		c.refuseQueued(verdict.NoUpstream)
	}
}

// Drain refuses queued and new tasks and lets running tasks finish.
func (c *Core) Drain(now time.Duration) {
	c.leaving = true
	c.refuseQueued(verdict.Draining)
}

// Idle reports whether no task is queued or running and no connected entry has an
// answer left to acknowledge.
func (c *Core) Idle() bool {
	if c.running > 0 || c.queued > 0 {
		return false
	}
	for _, s := range c.sortedSessions {
		if s.connected && len(s.pendingAnswers)+len(s.unackedAnswers) > 0 {
			return false
		}
	}
	return true
}

// Connected records a new connection of an entry and queues all its unacknowledged
// answers for retransmission.
func (c *Core) Connected(now time.Duration, entry ids.Incarnation) {
	s := c.session(entry)
	s.connected = true
	s.reportDue = true
	s.pendingAnswers = append(s.pendingAnswers, s.unackedAnswers...)
	s.unackedAnswers = nil
}

// Disconnected records the loss of an entry's connection. Its tasks continue; those
// under a lease are stopped after Leases.Reconnect unless the entry comes back.
func (c *Core) Disconnected(now time.Duration, entry ids.Incarnation) {
	s := c.session(entry)
	s.connected = false
	s.demand = 0
	if s.leaseExpiresAt > 0 {
		s.leaseExpiresAt = min(s.leaseExpiresAt, now+c.cfg.Leases.Reconnect)
	}
}

// session returns the session of an entry and creates it if there is none.
func (c *Core) session(entry ids.Incarnation) *session {
	s := c.sessions[entry]
	if s != nil {
		return s
	}
	s = &session{entry: entry}
	c.sessions[entry] = s
	at, _ := slices.BinarySearchFunc(c.sortedSessions, entry, func(o *session, e ids.Incarnation) int {
		if o.entry < e {
			return -1
		}
		return 1
	})
	c.sortedSessions = slices.Insert(c.sortedSessions, at, s)
	return s
}

// addHeld adds a task to the queued and running ones.
func (s *session) addHeld(r *row) {
	s.heldCount++
	s.heldSize = s.heldSize.Add(r.size)
	s.heldByTeam = addTeamTasks(s.heldByTeam, r.team, 1)
}

// removeHeld removes a task from the queued and running ones.
func (s *session) removeHeld(r *row) {
	s.heldCount--
	s.heldSize = s.heldSize.Sub(r.size)
	s.heldByTeam = addTeamTasks(s.heldByTeam, r.team, -1)
}

// addTeamTasks adds n tasks of a team to a list that is sorted by name. Teams without
// tasks are removed.
func addTeamTasks(list []wire.TeamTasks, team ids.Team, n int) []wire.TeamTasks {
	at, found := slices.BinarySearchFunc(list, team, func(t wire.TeamTasks, name ids.Team) int {
		return cmp.Compare(t.Team, name)
	})
	if !found {
		list = slices.Insert(list, at, wire.TeamTasks{Team: team})
	}
	list[at].Tasks += n
	if list[at].Tasks == 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// tasksOfOthers returns the tasks of all entries other than that of s, by team.
func (c *Core) tasksOfOthers(s *session) []wire.TeamTasks {
	var list []wire.TeamTasks
	for _, o := range c.sortedSessions {
		if o == s {
			continue
		}
		for _, t := range o.heldByTeam {
			list = addTeamTasks(list, t.Team, t.Tasks)
		}
	}
	return list
}

// pruneSessions removes the sessions of expired entries that are disconnected and
// have no queued or running task.
func (c *Core) pruneSessions() {
	c.sortedSessions = slices.DeleteFunc(c.sortedSessions, func(s *session) bool {
		gone := !c.liveEntries[s.entry] && ids.Version(s.entry) <= c.viewVersion
		if !gone || s.connected || s.heldCount > 0 {
			return false
		}
		delete(c.sessions, s.entry)
		return true
	})
}

// concurrencyLimit returns how many tasks may run at once. For a worker it is an estimate.
func (c *Core) concurrencyLimit() int {
	if c.sized() {
		return c.sizedConcurrencyLimit()
	}
	return min(c.cfg.Slots, c.cfg.Connections) - c.abandonedCalls
}
