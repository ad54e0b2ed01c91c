package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// outboxLimit bounds the messages that wait for a peer. Consensus repeats
	// what is dropped.
	outboxLimit = 1024
	// redialPause separates attempts to reach a peer.
	redialPause = 100 * time.Millisecond
	sendTimeout = 2 * time.Second
	// batchBytes bounds the log records that are sent together, before encoding.
	batchBytes = 256 << 10
	// bulkBytes is the size from which a message has a connection of its own.
	bulkBytes = 512 << 10
	partBytes = 256 << 10
	// maxAssembled bounds a message that arrives in parts.
	maxAssembled = 512 << 20
)

// steps is the content of peer.step.
type steps struct {
	From     consensus.ID        `json:"f"`
	Addr     string              `json:"a"` // of the sender, for a receiver that is not in the group yet
	Messages []consensus.Message `json:"m"`
}

// link sends messages to one peer in order over one connection.
type link struct {
	addr string
	self steps // without messages
	dial member.Dialer
	out  chan consensus.Message
	rest chan wire.Renewals
	conn *rpc.Conn // used by run only
}

// lane separates large messages from the others, which must not wait for them.
type lane struct {
	addr string
	bulk bool
}

// links holds the links to the peers.
type links struct {
	dial   member.Dialer
	self   steps
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	byLane map[lane]*link // used by the node's loop only
}

func newLinks(dial member.Dialer, self consensus.ID, addr string) *links {
	ctx, cancel := context.WithCancel(context.Background())
	return &links{dial: dial, self: steps{From: self, Addr: addr}, ctx: ctx, cancel: cancel, byLane: map[lane]*link{}}
}

func (ls *links) close() {
	ls.cancel()
	ls.done.Wait()
}

func (ls *links) to(addr string, bulk bool) *link {
	l := ls.byLane[lane{addr, bulk}]
	if l == nil {
		limit := outboxLimit
		if bulk {
			limit = 1 // a snapshot is sent again before a slow one has arrived
		}
		l = &link{
			addr: addr, self: ls.self, dial: ls.dial,
			out: make(chan consensus.Message, limit), rest: make(chan wire.Renewals, 1),
		}
		ls.byLane[lane{addr, bulk}] = l
		ls.done.Go(func() { l.run(ls.ctx) })
	}
	return l
}

// step queues a message of consensus. It drops the message when the peer does
// not keep up.
func (ls *links) step(addr string, m consensus.Message) {
	select {
	case ls.to(addr, messageSize(m) >= bulkBytes).out <- m:
	default:
	}
}

// renewals queues lease renewals for the leader.
func (ls *links) renewals(addr string, r wire.Renewals) {
	select {
	case ls.to(addr, false).rest <- r:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	defer l.drop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.out:
			batch := l.self
			batch.Messages = l.gather(m)
			l.sendSteps(ctx, batch)
		case r := <-l.rest:
			l.send(ctx, wire.MethodRenewals, r)
		}
	}
}

func (l *link) gather(first consensus.Message) []consensus.Message {
	batch := []consensus.Message{first}
	for size(batch) < batchBytes {
		select {
		case m := <-l.out:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// sendSteps sends messages, in parts when they exceed the bound on a message,
// as the snapshot of large tables does.
func (l *link) sendSteps(ctx context.Context, batch steps) {
	if size(batch.Messages) < batchBytes+bulkBytes {
		l.send(ctx, wire.MethodStep, batch)
		return
	}
	data, err := json.Marshal(batch)
	if err != nil {
		klog.Errorf("control: Messages to %s can't be encoded: %v.", l.addr, err)
		return
	}
	for at := 0; at < len(data); at += partBytes {
		end := min(at+partBytes, len(data))
		if !l.send(ctx, methodPart, part{First: at == 0, Last: end == len(data), Data: data[at:end]}) {
			return
		}
	}
}

func (l *link) send(ctx context.Context, method string, params any) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if !l.connect(ctx) {
		return false
	}
	if err := l.conn.Notify(ctx, method, params); err != nil {
		klog.Warningf("control: Sending to %s failed: %v.", l.addr, err)
		l.drop()
		return false
	}
	return true
}

// connect dials if there is no connection. While the peer is unreachable, what
// waits for it is dropped, since it would be out of date.
func (l *link) connect(ctx context.Context) bool {
	if l.conn != nil {
		select {
		case <-l.conn.Done():
			l.drop()
		default:
			return true
		}
	}
	conn, err := l.dial(ctx, l.addr)
	if err == nil {
		l.conn = conn
		return true
	}
	select {
	case <-ctx.Done():
	case <-time.After(redialPause):
	}
	for len(l.out) > 0 {
		<-l.out
	}
	return false
}

func (l *link) drop() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func size(messages []consensus.Message) int {
	n := 0
	for _, m := range messages {
		n += messageSize(m)
	}
	return n
}

func messageSize(m consensus.Message) int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}

// part is a piece of the JSON of steps.
type part struct {
	First bool   `json:"f,omitempty"`
	Last  bool   `json:"l,omitempty"`
	Data  []byte `json:"d"`
}

// assembly gathers the parts that arrive on one connection.
type assembly struct{ data []byte }

// add returns the content once the last part has arrived.
func (a *assembly) add(p part) (data []byte, err error) {
	if p.First {
		a.data = nil
	}
	if len(a.data)+len(p.Data) > maxAssembled {
		a.data = nil
		return nil, verdict.Refuse(verdict.BadRequest, "the parts exceed %d bytes", maxAssembled)
	}
	a.data = append(a.data, p.Data...)
	if !p.Last {
		return nil, nil
	}
	data, a.data = a.data, nil
	return data, nil
}
