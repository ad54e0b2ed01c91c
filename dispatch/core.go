package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Core is the state of an entry's decisions. One goroutine owns it.
type Core struct {
	cfg         Config
	rng         uint64
	viewCurrent bool

	services        map[ids.Service]*service
	sortedServices  []*service
	upstreams       map[ids.Incarnation]*upstream
	sortedUpstreams []*upstream // by incarnation
	jobs            map[ids.Job]*job
	requests        map[ids.TaskKey]*job
	attempts        map[attemptKey]*attempt
	timers          timerHeap

	finished               []Outcome
	queuedClaims           []ClaimOrder
	takeovers              []*job                       // jobs whose claims or bodies are missing, in order of arrival
	connectedUnlisted      map[ids.Incarnation]bool     // connected before the view listed them
	recentRegistrations    map[ids.Node][]time.Duration // recent registrations by node
	logRunRatios           map[ids.Node]float64         // of workers, kept across incarnations
	markedUpstreams        []*upstream                  // upstreams with something to send, in order of marking
	retryTokens            float64                      // retry budget
	hedgeTokens            float64                      // hedge budget
	nextSweepAt            time.Duration
	now                    time.Duration // of the tick, for the texts of errors
	nextFeasibilityCheckAt time.Duration // next pass over the waiting batches
	startupEndsAt          time.Duration // when the workers have had time to connect
	nextLeaseCheckAt       time.Duration // next pass over the leases at workers
	messageCounts          Messages
	recentDecisions        decisionRing
}

// service is the table row of a service.
type service struct {
	name      ids.Service
	cfg       Service
	upstreams []*upstream // by incarnation, live ones only

	quarantined    []*upstream
	usable         fenwick     // work done for this entry each second, by cost bucket
	slots          int         // slots behind usable
	failureRateSum float64     // failure rates of the upstreams outside quarantine
	free           bucketIndex // upstreams with a free slot
	lookAhead      bucketIndex // upstreams that take one task of look-ahead
	busySlots      fenwick     // busy slots by cost bucket
	completionRate fenwick     // completions per unit of work by cost bucket

	taskSizes       taskSizeEstimate              // of sized tasks
	meanLogRunRatio float64                       // average pace of the workers
	minSlowness     float64                       // slowness of the fastest worker, set by each sweep
	fastWorkers     int                           // workers of about that slowness
	fastBatchWidth  float64                       // average width of the batches that need fast workers, zero if there are none
	fastBatchShare  float64                       // their share of the batches
	unplacedTasks   int                           // tasks of batches that arrived since the last placement
	runTimesByQueue map[string]*runTimeRegression // by queue

	logRunTimeVariance float64  // variance of the logarithm of run times at one speed
	taskWork           estimate // normalized run time of tasks, in seconds
	workHistogram      histogram
	outstanding        int // attempts without an answer
	teamQueues         fairQueue
	quarantinedCount   int // upstreams in quarantine

	stranded          strandedState
	lookAheadAttempts []*attempt // attempts placed as look-ahead, not yet answered

	// Set by each sweep.
	typicalSlowness float64                   // slowness of a typical slot
	longestWork     [maxMagnitude + 1]float64 // run time of the longest task by the magnitude of the number of tasks, in seconds
}

// job is the table row of a job or, when single is set, of a single request.
type job struct {
	id         ids.Job
	key        ids.TaskKey // of a single request
	epoch      ids.Epoch
	team       ids.Team
	svc        *service
	deadline   time.Duration
	startBy    time.Duration // when the last task should have started
	unrecorded bool
	idempotent bool
	batch      *batch // nil for all but batches
	ended      bool

	tasks       []task
	done        int
	outstanding int // attempts without an answer
	mayHaveRun  bool

	logOffset       logOffset // run time of this job's tasks, for jobs other than batches
	relativeRunTime float64   // run time of its tasks relative to the service's average
	declaredRunTime float64   // seconds, zero if unknown

	// Fair sharing.
	arrivalSeq    uint64
	heapPos       int           // position in the heap of the team, -1 if nothing waits
	urgentAt      time.Duration // when the job becomes urgent
	urgentHeapPos int
	nextNewTask   int // first task that has never been placed
	requeuedTasks []int
	waitingTasks  int
	queue         *teamQueue

	usedUpstreamSet map[*upstream]struct{}
	usedUpstreams   []*upstream // upstreams that may hold rows, in order of first use
	takeover        *takeover
	deadlineTimer   *timer
	blamedUpstream  *upstream // first upstream on which a task failed
	blamedFailures  int       // failures counted against it
}

// task is one task of a job.
type task struct {
	spec         wire.TaskSpec
	answer       wire.Answer
	done         bool
	tries        uint32
	failures     int // retries after a failure
	primary      *attempt
	hedge        *attempt
	lastFailedOn *upstream // upstream that failed it last
}

// attempt is one placement of a task that has no answer yet.
type attempt struct {
	job              *job
	taskIndex        int
	target           *upstream
	try              uint32
	acceptsAnyTry    bool // adopted through a claim, the former owner's try is unknown
	abandoned        bool // nobody waits for it any more
	restartRequested bool // its end has been asked for, to start the task elsewhere
	lookAhead        bool
	recallSent       bool
	reportedRunning  bool // the agent has said that it runs
	hedgeTimer       *timer
	rate             int // speed of the upstream when it was placed, in units of rateUnit
	isHedge          bool
	sentAt           time.Duration
	lastSentAt       time.Duration
	resendCount      int
	upstreamPos      int // position in up.attempts
	lookAheadPos     int // position in svc.aheads, -1 if absent
}

type attemptKey struct {
	task   ids.TaskKey
	target ids.Incarnation
}

// New returns an empty core. The seed decides between equal choices.
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
		logRunRatios:        map[ids.Node]float64{},
		hedgeTokens:         1,
	}
	c.cfg.Self = cfg.Self
	c.SetConfig(cfg)
	c.retryTokens = retryBurst
	return c
}

// SetConfig replaces the configuration. Self is kept.
func (c *Core) SetConfig(cfg Config) {
	cfg.Self = c.cfg.Self
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

// service returns the row of a service and creates it if needed.
func (c *Core) service(name ids.Service) *service {
	s := c.services[name]
	if s != nil {
		return s
	}
	s = &service{name: name, cfg: c.cfg.Services[name], logRunTimeVariance: 1, minSlowness: 1, runTimesByQueue: map[string]*runTimeRegression{}}
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

// Tick runs the systems in order and returns what they decided.
func (c *Core) Tick(now time.Duration) Output {
	c.now = now
	c.fireTimers(now)
	c.sweep(now)
	c.renewLeases(now)
	c.failStrandedJobs(now)
	c.failInfeasibleBatches(now)
	c.recallLookAhead(now)
	c.placeWaiting(now)
	out := Output{Claims: c.queuedClaims, Finished: c.finished}
	c.queuedClaims, c.finished = nil, nil
	out.Send = c.flushOutboxes(now)
	out.NextTick = c.nextTickTime(now)
	return out
}

// nextTickTime returns when the next timer or sweep is due.
func (c *Core) nextTickTime(now time.Duration) time.Duration {
	next := c.timers.nextTime()
	if len(c.attempts) > 0 || c.Waiting() > 0 {
		next = earliestNonZero(earliestNonZero(next, c.nextSweepAt), earliestNonZero(c.nextLeaseCheckAt, c.nextFeasibilityCheckAt))
	}
	if next != 0 && next <= now {
		next = now + time.Millisecond
	}
	return next
}

// Waiting counts the tasks that wait at this entry.
func (c *Core) Waiting() int {
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

// taskKey returns the key of a task of j.
func (j *job) taskKey(index int) ids.TaskKey {
	if j.unrecorded {
		return ids.TaskKey{Entry: j.key.Entry, Index: j.key.Index + uint64(index)}
	}
	return ids.TaskOf(j.id, index)
}

// initJob files the bodies, the team and the deadline of a job.
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
	j.startBy, _ = j.svc.planLastStart(now, j.deadline, j.queue, len(j.tasks), j.svc.expectedTaskWork(seconds(j.declaredRunTime)))
	j.deadlineTimer = c.timers.add(j.deadline, &timer{kind: deadlineTimer, job: j})
}

// Submit takes over an admitted job. It starts in the next tick, or after the
// claims when Takeover is set. A job that is already known is ignored.
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
	if c.requests[r.Key] != nil {
		return verdict.Refuse(verdict.BadRequest, "request %s is already in progress", r.Key)
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

// Open returns the number of jobs and single requests without an outcome.
func (c *Core) Open() int { return len(c.jobs) + len(c.requests) }

// sortedJobs lists open jobs and requests by arrival in the tables' order.
func (c *Core) sortedJobs() []*job {
	list := make([]*job, 0, c.Open())
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
