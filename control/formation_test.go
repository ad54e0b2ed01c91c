package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/ids"
)

// testNode is a node that forms a group without a network.
type testNode struct {
	formation *groupFormation
	locked    []consensus.Peer // synced to disk
	formed    []consensus.Peer
}

func newTestNode(node int, peers []Peer, instance string) *testNode {
	p := consensus.Peer{ID: consensus.ID(instance), Name: string(peers[node].Node), Addr: peers[node].Addr, Voter: true}
	return &testNode{formation: newFormation(p, peers, nil)}
}

// restart loses all state that is not synced to disk.
func (f *testNode) restart() {
	f.formation = newFormation(f.formation.self, f.formation.peers, f.locked)
}

func (f *testNode) hello() hello {
	h := f.formation.hello()
	if f.formed != nil {
		h.Formed, h.Group = true, f.formed
	}
	return h
}

func (f *testNode) receive(h hello) {
	if f.formed != nil {
		return
	}
	if f.formation.receive(h) {
		f.formed = f.locked
		return
	}
	if f.formation.shouldLock() {
		f.locked = f.formation.group
		f.formation.locked = true
	}
	if f.formation.shouldForm() {
		f.formed = f.locked
	}
}

type sentHello struct {
	to    int
	hello hello
}

// Guards against two groups forming at the first start while one disk is emptied and
// processes restart, with announcements delayed arbitrarily.
func TestOneGroupForms(t *testing.T) {
	var peers []Peer
	for i := range 3 {
		peers = append(peers, Peer{Node: ids.Node(fmt.Sprint("c", i)), Addr: fmt.Sprint("a", i)})
	}
	groupsFormed := 0
	for seed := range uint64(5_000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var nodes []*testNode
		for i := range peers {
			nodes = append(nodes, newTestNode(i, peers, fmt.Sprint("i", i)))
		}
		var sent []sentHello
		for step := range 150 {
			from, to := rng.IntN(3), rng.IntN(3)
			switch {
			case rng.IntN(50) == 0 && step < 100:
				nodes[0] = newTestNode(0, peers, fmt.Sprint("i0-", step)) // its disk is emptied
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
			groupsFormed++
		}
	}
	if groupsFormed < 500 {
		t.Fatalf("the nodes formed a group in only %d of 5,000 runs", groupsFormed)
	}
}

// Guards against a node that locks a second set of peers after a restart.
func TestLockSurvivesRestart(t *testing.T) {
	peers := []Peer{{Node: "c0", Addr: "a0"}, {Node: "c1", Addr: "a1"}}
	a, b := newTestNode(0, peers, "i0"), newTestNode(1, peers, "i1")
	b.receive(a.hello())
	a.receive(b.hello())
	if a.locked == nil || a.formed != nil {
		t.Fatalf("the node has locked %v and formed %v", a.locked, a.formed)
	}
	a.restart()
	b = newTestNode(1, peers, "i1-new")
	for range 2 {
		a.receive(b.hello())
		b.receive(a.hello())
	}
	if h := a.hello(); !h.Locked || !slices.Equal(h.Group, a.locked) || a.formed != nil {
		t.Fatalf("the node announces %+v after it had locked %+v", h, a.locked)
	}
}
