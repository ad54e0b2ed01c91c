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
	cfg     Config
	rng     uint64
	current bool

	services map[ids.Service]*service
	svcOrder []*service
	ups      map[ids.Incarnation]*upstream
	upOrder  []*upstream // by incarnation
	jobs     map[ids.Job]*job
	requests map[ids.TaskKey]*job
	attempts map[attemptKey]*attempt
	timers   timerHeap

	finished   []Outcome
	claims     []ClaimOrder
	takeovers  []*job                       // jobs whose claims or bodies are missing, in order of arrival
	early      map[ids.Incarnation]bool     // connected before the view listed them
	registered map[ids.Node][]time.Duration // recent registrations by node
	paces      map[ids.Node]float64         // of workers, kept across incarnations
	mail       []*upstream                  // upstreams with something to send, in order of marking
	tokens     float64                      // retry budget
	hedges     float64                      // hedge budget
	sweepAt    time.Duration
	now        time.Duration // of the tick, for the texts of errors
	hopelessAt time.Duration // next pass over the waiting batches
	settledAt  time.Duration // when the workers have had time to connect
	leaseAt    time.Duration // next pass over the leases at workers
	msgs       Messages
	ring       decisionRing
}

// service is the table row of a service.
type service struct {
	name ids.Service
	cfg  Service
	ups  []*upstream // by incarnation, live ones only

	quarantined []*upstream
	usable      fenwick     // work done for this entry each second, by cost bucket
	slots       int         // slots behind usable
	failSum     float64     // failure rates of the upstreams outside quarantine
	free        bucketIndex // upstreams with a free slot
	ahead       bucketIndex // upstreams that take one task of look-ahead
	busy        fenwick     // busy slots by cost bucket
	rate        fenwick     // completions per unit of work by cost bucket

	sizes      sizeEstimate         // of sized tasks
	basePace   float64              // average pace of the workers
	fastest    float64              // slowness of the fastest worker, set by each sweep
	fastCount  int                  // workers of about that slowness
	needyTasks float64              // average width of the batches that need fast workers, zero if there are none
	needyShare float64              // their share of the batches
	unplaced   int                  // tasks of batches that arrived since the last placement
	queues     map[string]*runTimes // by queue

	spread float64  // variance of the logarithm of run times at one speed
	work   estimate // normalized run time of tasks, in seconds
	tail   tailTable
	held   int // attempts without an answer
	fair   fairQueue
	quar   int // upstreams in quarantine

	stranded stranding
	aheads   []*attempt // attempts placed as look-ahead, not yet answered

	// Set by each sweep.
	typical float64                   // slowness of a typical slot
	longest [maxMagnitude + 1]float64 // run time of the longest task by the magnitude of the number of tasks, in seconds
}

// job is the table row of a job or, when single is set, of a single request.
type job struct {
	id       ids.Job
	key      ids.TaskKey // of a single request
	epoch    ids.Epoch
	team     ids.Team
	svc      *service
	deadline time.Duration
	due      time.Duration // when the last task should have started
	single   bool
	idem     bool
	batch    *batch // nil for all but batches
	ended    bool

	tasks    []task
	done     int
	sent     int // attempts without an answer
	maybeRan bool

	offset   offset  // run time of this job's tasks, for jobs other than batches
	ratio    float64 // run time of its tasks relative to the service's average
	declared float64 // seconds, zero if unknown

	// Fair sharing.
	arrived   uint64
	pos       int           // position in the heap of the team, -1 if nothing waits
	latest    time.Duration // when the job becomes urgent
	urgentPos int
	next      int // first task that has never been placed
	again     []int
	waiting   int
	queue     *teamQueue

	touched       map[*upstream]struct{}
	visited       []*upstream // upstreams that may hold rows, in order of first use
	takeover      *takeover
	deadlineTimer *timer
	blamed        *upstream // first upstream on which a task failed
	blames        int       // failures counted against it
}

// task is one task of a job.
type task struct {
	spec    wire.TaskSpec
	answer  wire.Answer
	done    bool
	tries   uint32
	failed  int // retries after a failure
	primary *attempt
	hedge   *attempt
	avoid   *upstream // upstream that failed it last
}

// attempt is one placement of a task that has no answer yet.
type attempt struct {
	job        *job
	index      int
	up         *upstream
	try        uint32
	anyTry     bool // adopted through a claim, the former owner's try is unknown
	orphan     bool // nobody waits for it any more
	restarting bool // its end has been asked for, to start the task elsewhere
	ahead      bool
	recalled   bool
	running    bool // the agent has said that it runs
	hedgeTimer *timer
	rate       int // speed of the upstream when it was placed, in units of rateUnit
	isHedge    bool
	sentAt     time.Duration
	resentAt   time.Duration
	resends    int
	pos        int // position in up.attempts
	apos       int // position in svc.aheads, -1 if absent
}

type attemptKey struct {
	key ids.TaskKey
	up  ids.Incarnation
}

// New returns an empty core. The seed decides between equal choices.
func New(cfg Config, seed uint64) *Core {
	c := &Core{
		rng:        seed,
		services:   map[ids.Service]*service{},
		ups:        map[ids.Incarnation]*upstream{},
		jobs:       map[ids.Job]*job{},
		requests:   map[ids.TaskKey]*job{},
		attempts:   map[attemptKey]*attempt{},
		early:      map[ids.Incarnation]bool{},
		registered: map[ids.Node][]time.Duration{},
		paces:      map[ids.Node]float64{},
		hedges:     1,
	}
	c.cfg.Self = cfg.Self
	c.SetConfig(cfg)
	c.tokens = retryBurst
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
	for _, s := range c.svcOrder {
		s.cfg = cfg.Services[s.name]
		s.fair.setQuotas(cfg.Teams)
		for _, u := range s.ups {
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
	s = &service{name: name, cfg: c.cfg.Services[name], spread: 1, fastest: 1, queues: map[string]*runTimes{}}
	s.fair.init()
	c.services[name] = s
	at, _ := slices.BinarySearchFunc(c.svcOrder, name, func(o *service, n ids.Service) int {
		if o.name < n {
			return -1
		}
		return 1
	})
	c.svcOrder = slices.Insert(c.svcOrder, at, s)
	return s
}

// SetCurrent records whether the view has been confirmed as current.
func (c *Core) SetCurrent(current bool) { c.current = current }

// Tick runs the systems in order and returns what they decided.
func (c *Core) Tick(now time.Duration) Output {
	c.now = now
	c.runTimers(now)
	c.sweep(now)
	c.renewLeases(now)
	c.endStranded(now)
	c.endHopelessBatches(now)
	c.recallQueued(now)
	c.placeWaiting(now)
	out := Output{Claims: c.claims, Finished: c.finished}
	c.claims, c.finished = nil, nil
	out.Send = c.flushMail(now)
	out.NextTick = c.nextTick(now)
	return out
}

// nextTick returns when the next timer or sweep is due.
func (c *Core) nextTick(now time.Duration) time.Duration {
	next := c.timers.first()
	if len(c.attempts) > 0 || c.Waiting() > 0 {
		next = earliest(earliest(next, c.sweepAt), earliest(c.leaseAt, c.hopelessAt))
	}
	if next != 0 && next <= now {
		next = now + time.Millisecond
	}
	return next
}

// Waiting counts the tasks that wait at this entry.
func (c *Core) Waiting() int {
	n := 0
	for _, s := range c.svcOrder {
		n += s.fair.waiting
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

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// keyOf returns the key of a task of j.
func (j *job) keyOf(index int) ids.TaskKey {
	if j.single {
		return ids.TaskKey{Entry: j.key.Entry, Index: j.key.Index + uint64(index)}
	}
	return ids.TaskOf(j.id, index)
}

// addJob files the bodies, the team and the deadline of a job.
func (c *Core) addJob(now time.Duration, j *job, specs []wire.TaskSpec) {
	for i := range specs {
		j.tasks[i].spec = specs[i]
	}
	q := &j.svc.fair
	q.arrived++
	j.arrived = q.arrived
	j.queue = q.team(j.team, c.cfg.Teams[j.team].Quota)
	j.pos = -1
	j.setRatio()
	j.due, _ = j.svc.plan(now, j.deadline, j.queue, len(j.tasks), j.svc.taskWork(seconds(j.declared)))
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
		id:       s.ID,
		epoch:    s.Epoch,
		team:     s.Team,
		svc:      c.service(s.Service),
		deadline: s.Deadline,
		tasks:    make([]task, max(s.Tasks, len(s.Specs))),
		declared: s.RunTime.Seconds(),
	}
	c.jobs[s.ID] = j
	c.addJob(now, j, s.Specs)
	if s.Takeover {
		c.startTakeover(now, j, len(s.Specs) > 0)
		return
	}
	j.waiting = len(j.tasks)
	c.enqueue(j)
	if len(j.tasks) == 0 {
		c.complete(now, j)
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
		key:      r.Key,
		team:     r.Team,
		svc:      c.service(r.Service),
		deadline: r.Deadline,
		single:   true,
		idem:     r.Idempotent,
		tasks:    make([]task, 1),
		waiting:  1,
	}
	c.requests[r.Key] = j
	c.addJob(now, j, []wire.TaskSpec{r.Spec})
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
