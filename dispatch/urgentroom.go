package dispatch

import (
	"math"

	"github.com/baobabshore/baobabshore/wire"
)

// Load: long tasks of queues that can wait fill all workers. Urgent batches are short and
// wide; each waits for several slots to become free, and is late. Waiting work is started
// in order of urgency, but nothing keeps a slot for work that arrives in the next moment.
//
// So a small share of the slots is kept for the most urgent queue. Slots become free all
// the time while workers are full, so a small reserve is refilled within milliseconds.

const (
	// maxUrgentReserve is the largest share of the slots that is kept for urgent tasks.
	maxUrgentReserve = 0.02
	// urgentWeight is the weight of a batch in the moving average of the share of urgent
	// tasks.
	urgentWeight = 1.0 / 256
	// maxUrgentSample bounds the tasks of one batch in the averages, in multiples of the
	// average. A batch of very many tasks would hide the others for thousands of batches.
	maxUrgentSample = 16
	// minUrgentShare is the share of urgent tasks below which nothing is kept for them.
	minUrgentShare = 0.01
)

// urgentRoom learns which queues of a service are urgent and how much room they need.
type urgentRoom struct {
	priority  int     // of the most urgent batches
	urgent    float64 // moving average of the tasks of urgent batches, for each batch
	all       float64 // the same for all batches
	lessShare float64 // moving average of the share of batches that are less urgent
}

// learn adds a batch that has arrived.
func (r *urgentRoom) learn(priority, tasks int) {
	if r.all == 0 || priority < r.priority {
		*r = urgentRoom{priority: priority, all: r.all, lessShare: r.lessShare}
	}
	sample := float64(tasks)
	if r.all > 0 {
		sample = min(sample, maxUrgentSample*r.all)
	}
	urgentTasks, less := sample, 0.0
	if priority > r.priority {
		urgentTasks, less = 0, 1
	}
	r.urgent += urgentWeight * (urgentTasks - r.urgent)
	r.all += urgentWeight * (sample - r.all)
	r.lessShare += urgentWeight * (less - r.lessShare)
	if r.all > 0 && r.urgent/r.all < minUrgentShare/4 {
		r.priority = math.MaxInt // the next batch shows which queues are urgent now
	}
}

// share returns the share of the slots to keep for urgent tasks.
func (r *urgentRoom) share() float64 {
	if r.all == 0 || r.lessShare < minUrgentShare || r.urgent/r.all < minUrgentShare {
		return 0
	}
	return min(r.urgent/r.all, maxUrgentReserve)
}

// urgentSlots returns the number of slots of u that are kept for urgent tasks. Workers
// with few slots keep one on some of them, the same ones at all entries.
func (u *upstream) urgentSlots() int {
	share := u.svc.urgent.share()
	if share == 0 {
		return 0
	}
	const hashFactor = 0x9e3779b97f4a7c15 // spreads successive incarnations evenly
	spread := float64(uint64(u.incarnation)*hashFactor>>11) / (1 << 53)
	return int(share*float64(u.slots()) + spread)
}

// isKeptForUrgent reports whether the room that u has for a task of the given size is kept
// for tasks that are more urgent than those of a batch of the given priority.
func (u *upstream) isKeptForUrgent(priority int, size wire.Resources) bool {
	kept := u.urgentSlots()
	if priority <= u.svc.urgent.priority || kept == 0 {
		return false
	}
	return u.freeShareFor(size) <= float64(kept)/float64(max(u.slots(), 1))
}
