//go:build linux

package devcluster

import (
	"slices"

	"github.com/baobabshore/baobabshore/faultnet"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
)

// relay stands before the listener of a process.
type relay struct {
	*faultnet.Relay
	listen string // address of the listener
}

// startRelays starts a relay for each listener that processes of the system dial. The
// listeners of callers and upstreams have none, since HTTP clients and servers of others
// are at their other end.
func (s *system) startRelays() {
	s.relays = map[ids.Node]relay{}
	for i, addr := range s.addrs.control {
		s.startRelay(controlNode(i), addr)
		s.addrs.control[i] = s.relays[controlNode(i)].Addr()
	}
	for i, addr := range s.addrs.entry {
		s.startRelay(entryNode(i), addr)
	}
	for i, addr := range s.addrs.agent {
		s.startRelay(AgentNode(i), addr)
	}
}

func (s *system) startRelay(node ids.Node, listen string) {
	r, err := faultnet.Listen(anyPort, listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { r.Close() })
	s.relays[node] = relay{Relay: r, listen: listen}
}

// placeBehindRelay makes a process advertise the address of its relay, if it has one.
func (s *system) placeBehindRelay(p *settings.Process) {
	if r, ok := s.relays[p.Node]; ok {
		p.Listen, p.Advertise = r.listen, r.Addr()
	}
}

// relayedNodes returns the nodes behind relays, control nodes first.
func (s *system) relayedNodes() []ids.Node {
	var nodes []ids.Node
	for _, group := range [][]*process{s.controls, s.entries, s.agents} {
		for _, p := range group {
			nodes = append(nodes, ids.Node(p.name))
		}
	}
	return nodes
}

// processOf returns the process of a node that is behind a relay.
func (s *system) processOf(node ids.Node) *process {
	for _, p := range slices.Concat(s.controls, s.entries, s.agents) {
		if p.name == string(node) {
			return p
		}
	}
	s.t.Fatalf("no process of node %q", node)
	return nil
}
