package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Core is the state of an agent. One goroutine owns it.
type Core struct {
	cfg     Config
	view    ids.Version
	current bool
	// creditDelay is how long a wrong view of an entry may go uncorrected.
	creditDelay time.Duration
	draining    bool
	down        bool

	rows     map[ids.TaskKey]*row
	jobs     map[ids.Job]*job
	live     map[ids.Incarnation]bool // entries that the view lists as live
	sessions map[ids.Incarnation]*session
	order    []*session // sessions by incarnation, for a fixed order of output

	queue   []*row // in order of urgency, then of arrival
	queued  int
	running int
	// lingering counts calls whose answer was given up. They hold their slots.
	lingering int
	meanRun   time.Duration // moving average of run times, zero until known

	// For a worker: what its tasks take.
	used       wire.Resources // running tasks, those that are being stopped included
	queuedSize wire.Resources
	meanSize   wire.Resources // moving average of the sizes of tasks, zero until known
	active     map[ids.TaskKey]*row
	pace       pace
	fitness    fitness

	refused map[verdict.Reason]uint64 // starts refused since New

	acked       []*row // ended rows in order of acknowledgement, bodies dropped first from the front
	answerBytes int64
	abort       []ids.TaskKey
	lastSweep   time.Duration
}

// row is one entry of the start table.
type row struct {
	key      ids.TaskKey
	epoch    ids.Epoch
	try      uint32
	owner    *session
	team     ids.Team
	state    wire.TaskState
	start    wire.Start // emptied once the task is handed to the upstream
	made     time.Duration
	deadline time.Duration
	queuedAt time.Duration // when it was accepted
	began    time.Duration
	answer   *wire.Answer // set when ended or recalled
	acked    bool
	ackedAt  time.Duration
	sentAt   time.Duration // last transmission of the answer
	resends  int
	lingers  bool // the answer was given up, the call goes on
	size     wire.Resources
	declared time.Duration // run time, zero if unknown
	batch    uint64        // index of the first task of its batch
	aborted  bool          // its end has been asked for
}

// job is what the table knows of a job beyond its rows.
type job struct {
	epoch    ids.Epoch
	owner    ids.Incarnation
	canceled ids.Epoch // starts up to this epoch are refused
	rows     []*row
	made     time.Duration
	ended    bool
	endedAt  time.Duration
}

// session is what the agent keeps for each entry that has talked to it.
type session struct {
	entry      ids.Incarnation
	connected  bool
	demand     int
	holding    int              // rows queued or running
	teams      []wire.TeamTasks // the same rows by team, in order of name
	credit     int
	sentCredit int           // credit in the last report
	sentOthers int           // tasks of other entries in the last report
	changedAt  time.Duration // when the entry's view became wrong, zero while it is right
	reportedD  bool
	reportedX  bool
	reportAt   time.Duration
	answers    []*row        // answers to send
	extra      []wire.Answer // answers that belong to no row of this entry
	started    []ids.TaskKey
	unacked    []*row        // answers sent, in order of transmission
	due        bool          // a report is to be sent even without answers
	validUntil time.Duration // end of the entry's lease for its sized tasks, zero for none
}

// New returns the core of an agent that has seen no view yet. It refuses all
// starts until SetEntries has brought the view to its own registration.
func New(cfg Config) *Core {
	c := &Core{
		cfg:      cfg,
		rows:     map[ids.TaskKey]*row{},
		jobs:     map[ids.Job]*job{},
		live:     map[ids.Incarnation]bool{},
		sessions: map[ids.Incarnation]*session{},
		active:   map[ids.TaskKey]*row{},
		refused:  map[verdict.Reason]uint64{},
	}
	c.SetTradeoff(DefaultTradeoff)
	return c
}

// SetEntries replaces the view. at is the version up to which the view is
// complete; rows may hold members of any kind.
func (c *Core) SetEntries(now time.Duration, at ids.Version, rows []wire.Member) {
	if at < c.view {
		return
	}
	c.view = at
	clear(c.live)
	for _, m := range rows {
		if m.Kind == wire.KindEntry && m.Live() {
			c.live[m.Incarnation] = true
		}
	}
	c.dropSessions()
}

// SetCurrent records whether the view has been confirmed as current.
func (c *Core) SetCurrent(current bool) { c.current = current }

// SetDown records whether the upstream is unreachable. Queued tasks are
// answered not-run while it is.
func (c *Core) SetDown(now time.Duration, down bool) {
	c.down = down
	if down {
		c.refuseQueued(verdict.NoUpstream)
	}
}

// Drain refuses queued and new tasks. Running tasks finish.
func (c *Core) Drain(now time.Duration) {
	c.draining = true
	c.refuseQueued(verdict.Draining)
}

// Idle reports whether nothing runs, nothing waits and every answer has been
// acknowledged by an entry that is still connected.
func (c *Core) Idle() bool {
	if c.running > 0 || c.queued > 0 {
		return false
	}
	for _, s := range c.order {
		if s.connected && len(s.answers)+len(s.unacked) > 0 {
			return false
		}
	}
	return true
}

// Connected records a new connection of an entry. All answers that it has not
// acknowledged are sent again.
func (c *Core) Connected(now time.Duration, entry ids.Incarnation) {
	s := c.session(entry)
	s.connected = true
	s.due = true
	s.answers = append(s.answers, s.unacked...)
	s.unacked = nil
}

// Disconnected records the end of an entry's connection. Its tasks go on.
func (c *Core) Disconnected(now time.Duration, entry ids.Incarnation) {
	s := c.session(entry)
	s.connected = false
	s.demand = 0
	if s.validUntil > 0 {
		s.validUntil = min(s.validUntil, now+reconnectGrace)
	}
}

// session returns the session of an entry and creates it if needed.
func (c *Core) session(entry ids.Incarnation) *session {
	s := c.sessions[entry]
	if s != nil {
		return s
	}
	s = &session{entry: entry}
	c.sessions[entry] = s
	at, _ := slices.BinarySearchFunc(c.order, entry, func(o *session, e ids.Incarnation) int {
		if o.entry < e {
			return -1
		}
		return 1
	})
	c.order = slices.Insert(c.order, at, s)
	return s
}

// hold changes the number of queued and running rows of a team.
func (s *session) hold(team ids.Team, n int) {
	s.holding += n
	s.teams = addTasks(s.teams, team, n)
}

// addTasks adds n tasks of a team to a list in order of name. A team without
// tasks is left out.
func addTasks(list []wire.TeamTasks, team ids.Team, n int) []wire.TeamTasks {
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

// othersOf counts the tasks of the entries other than that of s by team.
func (c *Core) othersOf(s *session) []wire.TeamTasks {
	var list []wire.TeamTasks
	for _, o := range c.order {
		if o == s {
			continue
		}
		for _, t := range o.teams {
			list = addTasks(list, t.Team, t.Tasks)
		}
	}
	return list
}

// dropSessions forgets entries that have been expired and hold nothing here.
func (c *Core) dropSessions() {
	c.order = slices.DeleteFunc(c.order, func(s *session) bool {
		gone := !c.live[s.entry] && ids.Version(s.entry) <= c.view
		if !gone || s.connected || s.holding > 0 {
			return false
		}
		delete(c.sessions, s.entry)
		return true
	})
}

// limit is the number of tasks that may run at once, an estimate for a worker.
func (c *Core) limit() int {
	if c.sized() {
		return c.sizedLimit()
	}
	return min(c.cfg.Slots, c.cfg.Connections) - c.lingering
}
