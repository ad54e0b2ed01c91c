package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/wire"
)

var powerLossSeeds = flag.Uint64("powerlosses", 4, "number of seeds in TestPowerLossWithAnEmptiedDisk")

// powerLoss is a group with three voters and two observers, and the disturbance before all
// of its nodes lose power and one voter its disk.
type powerLoss struct {
	*group
	rng *rand.Rand
	// seedsAreObservers is set if the settings of all nodes name the observers only, which
	// know no address after a restart.
	seedsAreObservers bool
	voters            []int // positions of the nodes with a disk that return
}

// catchUpTime is CatchUpS of the smallest deployment: the time after its start for which the
// successor of a removed VM counts as lost.
const catchUpTime = 2 * time.Second

func newPowerLoss(t *testing.T, seed uint64) *powerLoss {
	rng := rand.New(rand.NewPCG(seed, 4))
	position := 0
	g := newGroupWith(t, 3, func(o *Options) {
		o.AutoJoin, o.Domain, o.LostAfter = true, testDomain(position), catchUpTime/2
		position++
	})
	p := &powerLoss{group: g, rng: rng, seedsAreObservers: rng.IntN(2) == 0, voters: []int{0, 1, 2}}
	for i := range 2 {
		o := p.addJoining(ids.Node(fmt.Sprint("observer-", i)), Tolerance{Nodes: 1})
		p.opts[o].Observer, p.opts[o].LostAfter = true, catchUpTime/2
		p.start(o)
	}
	p.waitForVoterCount(p.client(), 3)
	for i := range p.nodes {
		p.waitUntilListed(p.client(), i)
	}
	return p
}

// disturb restarts a voter, or has one replaced that is cut off or removed for good, shortly
// before the loss of power.
func (p *powerLoss) disturb() {
	voter := p.rng.IntN(3)
	switch p.rng.IntN(4) {
	case 0:
		klog.Infof("Test: Restarting voter %d.", voter)
		p.stop(voter)
		p.start(voter)
		p.sleep(0, 300*time.Millisecond)
	case 1:
		klog.Infof("Test: Replacing voter %d while it is away.", voter)
		p.replace(voter)
		p.sleep(500*time.Millisecond, catchUpTime)
	case 2:
		klog.Infof("Test: Removing voter %d.", voter)
		p.voters[voter] = p.replace(voter)
		p.sleep(catchUpTime, catchUpTime+300*time.Millisecond)
	}
}

// replace stops a voter and starts another node, and returns the position of that one.
func (p *powerLoss) replace(voter int) (fresh int) {
	p.stop(voter)
	fresh = p.addJoining("fresh", Tolerance{Nodes: 1})
	p.opts[fresh].LostAfter = catchUpTime / 2
	p.start(fresh)
	return fresh
}

// sleep sleeps for a random time from shortest to longest.
func (p *powerLoss) sleep(shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(p.rng.Int64N(int64(longest-shortest))))
}

// cyclePower stops all nodes, empties the disk of a voter and starts all in a random order.
func (p *powerLoss) cyclePower() {
	for i := range p.nodes {
		p.stop(i)
	}
	emptied := p.voters[p.rng.IntN(len(p.voters))]
	klog.Infof("Test: Emptying voter %d.", emptied)
	p.emptyDisk(emptied)
	if p.seedsAreObservers {
		p.nameOnlyObservers()
	}
	for _, i := range p.rng.Perm(len(p.nodes)) {
		if p.isRemoved(i) {
			continue
		}
		p.opts[i].JoinOnly = true
		p.start(i)
		p.sleep(0, 100*time.Millisecond)
	}
}

// isRemoved reports whether the node at position i is one of the first voters and doesn't return.
func (p *powerLoss) isRemoved(i int) bool { return i < len(p.voters) && p.voters[i] != i }

// nameOnlyObservers makes the observers the only nodes that the others know from their
// settings.
func (p *powerLoss) nameOnlyObservers() {
	var seeds []string
	for _, o := range p.opts {
		if o.Observer {
			seeds = append(seeds, o.Listen)
		}
	}
	for i := range p.opts {
		p.opts[i].Peers, p.opts[i].Directory = nil, member.NewDirectory(seeds...)
	}
}

// Guards against a group that elects no leader, has forgotten an acknowledged change or
// stays without the voters that it needs after all nodes, also those without a disk, have
// lost power and one voter its disk: while another voter restarts, right after one was
// replaced, and with settings that name none of the voters.
func TestPowerLossWithAnEmptiedDisk(t *testing.T) {
	for seed := range *powerLossSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			p := newPowerLoss(t, seed)
			p.disturb()
			p.apply(p.client(), "cmd-1", "1")
			p.cyclePower()
			start := time.Now()
			ctx, cancel := context.WithTimeout(p.ctx(), recoveryTime)
			defer cancel()
			r, err := p.client().Apply(ctx, wire.Apply{CommandID: "cmd-1", Expect: wire.AnyVersion})
			if err != nil || !r.Repeated {
				t.Fatalf("after %v: %+v %v", time.Since(start), r, err)
			}
			t.Logf("a leader after %v, voters named by the settings: %v, %d nodes", time.Since(start), !p.seedsAreObservers, len(p.nodes))
			p.waitForVoterCount(p.client(), 3)
			for i := range p.nodes {
				if !p.isRemoved(i) {
					p.waitUntilListed(p.client(), i)
				}
			}
		})
	}
}
