package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/ids"
)

// former is a node that forms a group, without a network.
type former struct {
	forming *formation
	locked  []consensus.Peer // synced
	formed  []consensus.Peer
}

func newFormer(node int, peers []Peer, instance string) *former {
	p := consensus.Peer{ID: consensus.ID(instance), Name: string(peers[node].Node), Addr: peers[node].Addr, Voter: true}
	return &former{forming: newFormation(p, peers, nil)}
}

// restart forgets what is not synced.
func (f *former) restart() { f.forming = newFormation(f.forming.self, f.forming.peers, f.locked) }

func (f *former) hello() hello {
	h := f.forming.hello()
	if f.formed != nil {
		h.Formed, h.Set = true, f.formed
	}
	return h
}

func (f *former) receive(h hello) {
	if f.formed != nil {
		return
	}
	if f.forming.receive(h) {
		f.formed = f.locked
		return
	}
	if f.forming.mayLock() {
		f.locked = f.forming.set
		f.forming.locked = true
	}
	if f.forming.mayForm() {
		f.formed = f.locked
	}
}

type sentHello struct {
	to    int
	hello hello
}

// Guards against two groups at a first start during which one disk is emptied and
// processes restart, however late the announcements arrive.
func TestOneGroupForms(t *testing.T) {
	var peers []Peer
	for i := range 3 {
		peers = append(peers, Peer{Node: ids.Node(fmt.Sprint("c", i)), Addr: fmt.Sprint("a", i)})
	}
	all := 0
	for seed := range uint64(5_000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var nodes []*former
		for i := range peers {
			nodes = append(nodes, newFormer(i, peers, fmt.Sprint("i", i)))
		}
		var sent []sentHello
		for step := range 150 {
			from, to := rng.IntN(3), rng.IntN(3)
			switch {
			case rng.IntN(50) == 0 && step < 100:
				nodes[0] = newFormer(0, peers, fmt.Sprint("i0-", step)) // its disk is emptied
			case rng.IntN(8) == 0 && step < 100:
				nodes[from].restart()
			case rng.IntN(2) == 0 && from != to:
				sent = append(sent, sentHello{to, nodes[from].hello()})
			case len(sent) > 0:
				i := rng.IntN(len(sent))
				nodes[sent[i].to].receive(sent[i].hello)
				sent = slices.Delete(sent, i, i+1)
			}
			if a, b := nodes[1].formed, nodes[2].formed; a != nil && b != nil && !slices.Equal(a, b) {
				t.Fatalf("seed %d: the nodes that kept their disks formed %v and %v", seed, a, b)
			}
			if a, b := nodes[0].formed, nodes[1].formed; a != nil && b != nil && !slices.Equal(a, b) {
				t.Fatalf("seed %d: nodes 0 and 1 formed %v and %v", seed, a, b)
			}
		}
		if nodes[1].formed != nil && nodes[2].formed != nil {
			all++
		}
	}
	if all < 500 {
		t.Fatalf("the nodes formed a group in only %d of 5,000 runs", all)
	}
}

// Guards against a node that locks a second set after a restart.
func TestLockSurvivesRestart(t *testing.T) {
	peers := []Peer{{Node: "c0", Addr: "a0"}, {Node: "c1", Addr: "a1"}}
	a, b := newFormer(0, peers, "i0"), newFormer(1, peers, "i1")
	b.receive(a.hello())
	a.receive(b.hello())
	if a.locked == nil || a.formed != nil {
		t.Fatalf("the node has locked %v and formed %v", a.locked, a.formed)
	}
	a.restart()
	b = newFormer(1, peers, "i1-new")
	for range 2 {
		a.receive(b.hello())
		b.receive(a.hello())
	}
	if h := a.hello(); !h.Locked || !slices.Equal(h.Set, a.locked) || a.formed != nil {
		t.Fatalf("the node announces %+v after it had locked %+v", h, a.locked)
	}
}
