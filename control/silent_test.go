package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/faultnet"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// recoveryTime is the target for the time from the end of a disturbance to the first
// accepted change, RecoveryS of the smallest deployment.
const recoveryTime = 12 * time.Second

// relayedNetwork puts a relay of its own between each node and each of its peers.
type relayedNetwork struct {
	t      *testing.T
	mu     sync.Mutex
	relays map[[2]string]*faultnet.Relay // by the addresses of the node that dials and of its peer
}

func newRelayedNetwork(t *testing.T) *relayedNetwork {
	return &relayedNetwork{t: t, relays: map[[2]string]*faultnet.Relay{}}
}

func (n *relayedNetwork) dialer(from string) member.Dialer {
	return func(ctx context.Context, to string) (*rpc.Conn, error) {
		relay, err := n.relay(from, to)
		if err != nil {
			return nil, err
		}
		return rpc.Dial(ctx, relay.Addr(), rpc.Security{}, nil, nil)
	}
}

func (n *relayedNetwork) relay(from, to string) (*faultnet.Relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if relay, ok := n.relays[[2]string{from, to}]; ok {
		return relay, nil
	}
	relay, err := faultnet.Listen("127.0.0.1:0", to)
	if err != nil {
		return nil, err
	}
	n.relays[[2]string{from, to}] = relay
	n.t.Cleanup(func() { relay.Close() })
	return relay, nil
}

// silence makes the open connections from one node to another silent.
func (n *relayedNetwork) silence(from, to string, d faultnet.Direction, pick func() bool) int {
	relay, err := n.relay(from, to)
	if err != nil {
		n.t.Fatal(err)
	}
	return relay.Silence(d, pick)
}

// newRelayedGroup returns a group of which each pair of nodes holds connections both ways,
// as after several changes of the leader.
func newRelayedGroup(t *testing.T, size int) (*group, *relayedNetwork) {
	n := newRelayedNetwork(t)
	g := newGroupWith(t, size, func(o *Options) { o.Dial = n.dialer(o.Listen) })
	g.leader()
	for _, from := range g.nodes {
		g.sendToAll(from) // opens the connections
	}
	g.waitFor("connections of all pairs", func() error {
		for _, from := range g.addrs() {
			for _, to := range g.addrs() {
				if relay, err := n.relay(from, to); err != nil || relay.Open() == 0 {
					return errors.Errorf("none from %s to %s, %v", from, to, err)
				}
			}
		}
		return nil
	})
	return g, n
}

// checkRecovery fails the test if the group accepts no change within recoveryTime.
func (g *group) checkRecovery() {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.ctx(), recoveryTime)
	defer cancel()
	if _, err := g.client().Confirm(ctx, wire.Confirm{}); err != nil {
		g.t.Errorf("no leader %v after connections went silent: %v", recoveryTime, err)
	}
}

// Guards against a link that keeps a connection which went silent without a reset, because
// it hears its peer over the peer's own connection.
func TestLinkReconnectsWhileItsPeerIsHeard(t *testing.T) {
	g, n := newRelayedGroup(t, 2)
	from, to := g.addrs()[0], g.addrs()[1]
	relay, err := n.relay(from, to)
	if err != nil {
		t.Fatal(err)
	}
	g.keepTalking()
	before := relay.Accepted()
	n.silence(from, to, faultnet.Both, func() bool { return true })
	for end := time.Now().Add(recoveryTime); relay.Accepted() == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the link keeps its silent connection for %v", recoveryTime)
		}
	}
}

// keepTalking makes all nodes send each other messages until the test ends.
func (g *group) keepTalking() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	g.t.Cleanup(func() { cancel(); wg.Wait() })
	for _, from := range g.nodes {
		wg.Go(func() {
			for clock.Sleep(ctx, 10*time.Millisecond) {
				g.sendToAll(from)
			}
		})
	}
}

// sendToAll sends each node a message that consensus ignores.
func (g *group) sendToAll(from *Node) {
	_ = from.post(g.ctx(), func(c *core) { // an error means that the node stops
		for _, to := range g.addrs() {
			c.links.queueMessage(to, consensus.Message{})
		}
	})
}

// Guards against a group that elects no leader although all nodes run, because pairs of
// nodes are left with one connection that works: a vote request or its reply is lost.
func TestElectionAfterConnectionsWentSilent(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			g, n := newRelayedGroup(t, 3)
			share, d := 0.5+rng.Float64()/2, faultnet.Direction(1+rng.IntN(3))
			for _, from := range g.addrs() {
				for _, to := range g.addrs() {
					if from != to {
						n.silence(from, to, d, func() bool { return rng.Float64() < share })
					}
				}
			}
			g.checkRecovery()
		})
	}
}

// Guards against messages that count as arrived although the answer is to earlier ones, or
// to those of another connection, and against marks that pile up.
func TestAnswersProveOnlyWhatWasSentBefore(t *testing.T) {
	server := silentServer(t)
	var conns [2]*rpc.Conn
	for i := range conns {
		c, err := rpc.Dial(t.Context(), server, rpc.Security{}, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns[i] = c
	}
	var s sentMarks
	for round := range uint64(2 * maxSentMarks) {
		s.record(conns[0], []consensus.Message{{Kind: consensus.MsgAppend, Term: 2, HeartbeatRound: round + 1}})
	}
	if len(s.marks) != maxSentMarks {
		t.Fatalf("%d marks are kept", len(s.marks))
	}
	upTo := func(round uint64) func(sentMark) bool {
		return func(m sentMark) bool { return m.round > 0 && m.round <= round }
	}
	s.prove(upTo(2*maxSentMarks - 3))
	if len(s.marks) != 3 || s.marks[0].round != 2*maxSentMarks-2 {
		t.Errorf("marks after an answer to all but three: %+v", s.marks)
	}
	s.record(conns[1], []consensus.Message{{Kind: consensus.MsgVote, Term: 3}})
	s.prove(upTo(2 * maxSentMarks))
	if len(s.marks) != 1 {
		t.Errorf("an answer to messages of the former connection leaves %d marks, want 1", len(s.marks))
	}
}
