package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Core is the state behind the dispatch decisions of an entry. It has no lock:
// one goroutine owns it.
type Core struct {
	cfg         Config
	rng         uint64 // state of the pseudo-random sequence
	viewCurrent bool   // the registry view has been confirmed as current

	services        map[ids.Service]*service
	sortedServices  []*service // by name
	upstreams       map[ids.Incarnation]*upstream
	sortedUpstreams []*upstream // by incarnation
	jobs            map[ids.Job]*job
	requests        map[ids.TaskKey]*job // single requests and batches
	attempts        map[attemptKey]*attempt
	timers          timerHeap

	finished             []Outcome                    // outcomes that the next tick returns
	queuedClaims         []ClaimRequest               // claims that the next tick returns
	takeovers            []*job                       // jobs whose claims or bodies are missing, in order of arrival
	connectedUnlisted    map[ids.Incarnation]bool     // agents that connected before the view listed them
	recentRegistrations  map[ids.Node][]time.Duration // times of recent registrations by node
	logDeclaredRatios    map[ids.Node]float64         // upstream.logDeclaredRatio by node, kept across incarnations
	markedUpstreams      []*upstream                  // upstreams whose outbox is to be sent, in order of marking
	retryTokens          float64                      // retry budget
	hedgeTokens          float64                      // hedge budget
	nextSweepAt          time.Duration
	now                  time.Duration // time of the current tick, for the texts of errors
	nextLateBatchCheckAt time.Duration // of the waiting batches, zero if none is planned
	startupEndsAt        time.Duration // batches wait for workers to connect until then
	freeKeyIndex         uint64        // above the indexes of all keys in use
	nextLeaseCheckAt     time.Duration // of the tasks at workers, zero if none is planned
	messageCounts        Messages
	recentDecisions      decisionRing
}

// service is the state of a service.
type service struct {
	name      ids.Service
	cfg       Service
	upstreams []*upstream // live ones, by incarnation

	quarantined    []*upstream
	usable         fenwick     // work that upstreams do for this entry each second, by cost bucket
	slots          int         // number of slots behind usable
	failureRateSum float64     // over the upstreams outside quarantine
	free           bucketIndex // upstreams with a free slot
	lookAhead      bucketIndex // upstreams that take another task as look-ahead
	busySlots      fenwick     // by cost bucket
	completionRate fenwick     // completions per unit of work, by cost bucket

	servesBatches        bool                          // a batch has been taken in
	taskSizes            taskSizeEstimate              // of sized tasks
	leastWaiting         leastSize                     // of the tasks that wait, or less
	leastInWindow        leastSize                     // of those that have begun to wait since leastWaiting was raised
	nextLeastRaiseAt     time.Duration                 // when leastWaiting is raised again
	meanLogDeclaredRatio float64                       // mean of the workers' logDeclaredRatio
	minSlowness          float64                       // of the workers, set by each sweep
	fastWorkerCount      int                           // number of workers of about that slowness
	needsFastWidth       float64                       // mean width in tasks of the batches that need fast workers, zero if there are none
	needsFastShare       float64                       // share of the batches that need fast workers
	unplacedTasks        int                           // tasks of batches that arrived since the last placement
	runTimesByQueue      map[string]*runTimeRegression // true run times as a function of the declared ones
	unusualShare         unusualShare
	urgent               urgentRoom

	logRunTimeVariance float64  // variance of the logarithm of run times on one upstream
	taskWork           estimate // run time of a task on an upstream of slowness 1, in seconds
	workHistogram      histogram
	outstanding        int       // attempts without an answer
	teamQueues         fairQueue // waiting jobs
	quarantinedCount   int       // length of quarantined

	stranded          strandedState
	lookAheadAttempts []*attempt // attempts placed as look-ahead that have not started yet

	// Updated by each sweep.
	typicalSlowness float64 // slowness of a typical slot
	// longestWork is the work of the longest task of a job, in seconds, by the
	// magnitude of the job's number of tasks.
	longestWork [maxMagnitude + 1]float64
}

// job is an open job or, when unrecorded is set, a single request or a batch.
type job struct {
	id             ids.Job
	key            ids.TaskKey // of the first task, when unrecorded
	epoch          ids.Epoch
	team           ids.Team
	svc            *service
	deadline       time.Duration
	plannedStartBy time.Duration // time by which the last task should start
	unrecorded     bool          // the control group holds no record of it
	idempotent     bool          // a failed task may be run again
	batch          *batch        // nil for all but batches
	ended          bool          // it has an outcome

	tasks       []task
	done        int  // number of tasks with a result
	outstanding int  // attempts without an answer
	mayHaveRun  bool // a task may have run without leaving a result

	logOffset       logOffset // learnt run time of its tasks, for jobs other than batches
	relativeRunTime float64   // expected run time of its tasks relative to the service's average
	declaredRunTime float64   // of a task, in seconds, zero if unknown

	// Fair sharing.
	arrivalSeq    uint64        // order of arrival at the service
	heapPos       int           // position in the heap of the team, -1 if no task waits
	urgentAt      time.Duration // when the job becomes urgent
	urgentHeapPos int           // position in the team's heap of urgent jobs
	nextNewTask   int           // first task that has never been placed
	requeuedTasks []int         // tasks that go before nextNewTask, the last one first
	waitingTasks  int
	queue         *teamQueue // of its team

	usedUpstreamSet map[*upstream]struct{}
	usedUpstreams   []*upstream // upstreams whose agents may hold rows of it, in order of first use
	takeover        *takeover
	deadlineTimer   *timer
	blamedUpstream  *upstream // first upstream on which a task failed
	blamedFailures  int       // failures counted against blamedUpstream
}

// task is one task of a job.
type task struct {
	spec         wire.TaskSpec
	answer       wire.Answer
	done         bool   // it has a result
	tries        uint32 // attempts started
	failures     int    // failures that count towards the limit of retries
	primary      *attempt
	hedge        *attempt  // second attempt that runs beside primary
	lastFailedOn *upstream // upstream of the last failure, which the next attempt avoids
}

// attempt is one placement of a task that has no answer yet.
type attempt struct {
	job              *job
	taskIndex        int
	size             wire.Resources // of the task, which outlives its spec
	target           *upstream
	try              uint32 // number of the attempt at its task, from 1
	acceptsAnyTry    bool   // adopted through a claim; the former owner's try is unknown
	abandoned        bool   // nobody waits for its result any more
	restartRequested bool   // an abort has been sent so that the task can start elsewhere
	lookAhead        bool   // placed when all slots of its target were taken
	recallSent       bool   // the agent has been asked to give it back
	reportedRunning  bool   // the agent has reported its start
	hedgeTimer       *timer
	rate             int // speed of its target at placement, in units of 1/rateUnit
	isHedge          bool
	sentAt           time.Duration // when its start was first sent
	lastSentAt       time.Duration // when its last message was sent
	resendCount      int           // repetitions sent so far
	upstreamPos      int           // position in target.attempts, -1 once removed
	lookAheadPos     int           // position in service.lookAheadAttempts, -1 if absent
}

// attemptKey is what an answer identifies its attempt by. An upstream holds at
// most one attempt of a task.
type attemptKey struct {
	task   ids.TaskKey
	target ids.Incarnation
}

// New returns an empty core. The seed determines the choices between equal
// candidates.
func New(cfg Config, seed uint64) *Core {
	c := &Core{
		rng:                 seed,
		services:            map[ids.Service]*service{},
		upstreams:           map[ids.Incarnation]*upstream{},
		jobs:                map[ids.Job]*job{},
		requests:            map[ids.TaskKey]*job{},
		attempts:            map[attemptKey]*attempt{},
		connectedUnlisted:   map[ids.Incarnation]bool{},
		recentRegistrations: map[ids.Node][]time.Duration{},
		logDeclaredRatios:   map[ids.Node]float64{},
		hedgeTokens:         1,
	}
	c.cfg.Self, c.cfg.Leases = cfg.Self, cfg.Leases
	if c.cfg.Leases == (lease.Times{}) {
		c.cfg.Leases = lease.Default()
	}
	c.SetConfig(cfg)
	c.retryTokens = retryBurst
	return c
}

// SetConfig replaces the configuration. Config.Self and Config.Leases are kept.
func (c *Core) SetConfig(cfg Config) {
	cfg.Self, cfg.Leases = c.cfg.Self, c.cfg.Leases
	if cfg.LookAhead == 0 {
		cfg.LookAhead = DefaultLookAhead
	}
	if cfg.MaxWait == 0 {
		cfg.MaxWait = DefaultMaxWait
	}
	c.cfg = cfg
	for name := range cfg.Services {
		c.service(name)
	}
	for _, s := range c.sortedServices {
		s.cfg = cfg.Services[s.name]
		s.teamQueues.setQuotas(cfg.Teams)
		for _, u := range s.upstreams {
			c.reindex(u)
		}
	}
}

// service returns the state of a service and creates it if needed.
func (c *Core) service(name ids.Service) *service {
	s := c.services[name]
	if s != nil {
		return s
	}
	s = &service{name: name, cfg: c.cfg.Services[name], logRunTimeVariance: 1, minSlowness: 1, runTimesByQueue: map[string]*runTimeRegression{}, unusualShare: unusualShare{share: initialUnusualShare}}
	s.teamQueues.init()
	c.services[name] = s
	at, _ := slices.BinarySearchFunc(c.sortedServices, name, func(o *service, n ids.Service) int {
		if o.name < n {
			return -1
		}
		return 1
	})
	c.sortedServices = slices.Insert(c.sortedServices, at, s)
	return s
}

// SetCurrent records whether the view has been confirmed as current.
func (c *Core) SetCurrent(viewCurrent bool) { c.viewCurrent = viewCurrent }

// Tick runs the periodic passes that are due, places waiting tasks and returns
// the messages, claims and outcomes that result.
func (c *Core) Tick(now time.Duration) Output {
	c.now = now
	c.fireTimers(now)
	c.sweep(now)
	c.renewLeases(now)
	c.failStrandedJobs(now)
	c.failLateBatches(now)
	c.recallLookAhead(now)
	c.placeWaiting(now)
	out := Output{Claims: c.queuedClaims, Finished: c.finished}
	c.queuedClaims, c.finished = nil, nil
	out.Send = c.flushOutboxes(now)
	out.NextTick = c.nextTickTime(now)
	return out
}

// nextTickTime returns when the next timer or periodic pass is due, zero for
// never.
func (c *Core) nextTickTime(now time.Duration) time.Duration {
	next := c.timers.nextTime()
	if len(c.attempts) > 0 || c.WaitingTasks() > 0 {
		next = earliestNonZero(earliestNonZero(next, c.nextSweepAt), earliestNonZero(c.nextLeaseCheckAt, c.nextLateBatchCheckAt))
	}
	if next != 0 && next <= now {
		next = now + time.Millisecond
	}
	return next
}

// WaitingTasks returns the number of tasks that wait at this entry.
func (c *Core) WaitingTasks() int {
	n := 0
	for _, s := range c.sortedServices {
		n += s.teamQueues.waitingTasks
	}
	return n
}

// random returns the next number of the seeded sequence (splitmix64).
func (c *Core) random() uint64 {
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// earliestNonZero returns the earlier of two times, where zero means never.
func earliestNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// taskKey returns the key of the task with the given index.
func (j *job) taskKey(index int) ids.TaskKey {
	if j.unrecorded {
		return ids.TaskKey{Entry: j.key.Entry, Index: j.key.Index + uint64(index)}
	}
	return ids.TaskOf(j.id, index)
}

// initJob sets the bodies, the team's queue, the planned start and the deadline
// timer of a job.
func (c *Core) initJob(now time.Duration, j *job, specs []wire.TaskSpec) {
	for i := range specs {
		j.tasks[i].spec = specs[i]
	}
	q := &j.svc.teamQueues
	q.arrivalSeq++
	j.arrivalSeq = q.arrivalSeq
	j.queue = q.team(j.team, c.cfg.Teams[j.team].Quota)
	j.heapPos = -1
	j.updateRelativeRunTime()
	j.plannedStartBy, _ = j.svc.planLastStart(now, j.deadline, j.queue, len(j.tasks), j.svc.expectedTaskWork(seconds(j.declaredRunTime)))
	j.deadlineTimer = c.timers.add(j.deadline, &timer{kind: deadlineTimer, job: j})
}

// Submit takes in an admitted job. Its tasks start in the next tick or, when
// Takeover is set, after its claims have been answered. A job that is known
// already with this epoch or a later one is ignored.
func (c *Core) Submit(now time.Duration, s Job) {
	if old := c.jobs[s.ID]; old != nil {
		if old.epoch >= s.Epoch {
			return
		}
		c.Disown(now, s.ID)
	}
	j := &job{
		id:              s.ID,
		epoch:           s.Epoch,
		team:            s.Team,
		svc:             c.service(s.Service),
		deadline:        s.Deadline,
		tasks:           make([]task, max(s.Tasks, len(s.Specs))),
		declaredRunTime: s.RunTime.Seconds(),
	}
	c.jobs[s.ID] = j
	c.initJob(now, j, s.Specs)
	if s.Takeover {
		c.startTakeover(now, j, len(s.Specs) > 0)
		return
	}
	j.waitingTasks = len(j.tasks)
	c.enqueue(j)
	if len(j.tasks) == 0 {
		c.completeJob(now, j)
	}
}

// Request takes in a single request, or refuses it with verdict not-run.
func (c *Core) Request(now time.Duration, r Request) *verdict.Error {
	spec := JobSpec{Team: r.Team, Service: r.Service, Tasks: 1, Deadline: r.Deadline}
	if err := c.Admit(now, spec); err != nil {
		return err
	}
	if err := c.useKeys(r.Key, 1); err != nil {
		return err
	}
	j := &job{
		key:          r.Key,
		team:         r.Team,
		svc:          c.service(r.Service),
		deadline:     r.Deadline,
		unrecorded:   true,
		idempotent:   r.Idempotent,
		tasks:        make([]task, 1),
		waitingTasks: 1,
	}
	c.requests[r.Key] = j
	c.initJob(now, j, []wire.TaskSpec{r.Spec})
	c.enqueue(j)
	return nil
}

// Progress returns the state of an open job, and whether it is open here.
func (c *Core) Progress(id ids.Job) (Progress, bool) {
	j := c.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	needs := j.takeover != nil && j.takeover.needBodies
	return Progress{Tasks: len(j.tasks), Done: j.done, NeedBodies: needs}, true
}

// OpenJobs returns the number of jobs and single requests without an outcome.
func (c *Core) OpenJobs() int { return len(c.jobs) + len(c.requests) }

// sortedJobs lists the open jobs and requests by id and key, so that the order
// doesn't depend on a map.
func (c *Core) sortedJobs() []*job {
	list := make([]*job, 0, c.OpenJobs())
	for _, j := range c.jobs {
		list = append(list, j)
	}
	for _, j := range c.requests {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		if d := cmp.Compare(a.id, b.id); d != 0 {
			return d
		}
		return cmp.Compare(a.key.Index, b.key.Index)
	})
	return list
}
