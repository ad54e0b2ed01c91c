package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// sendQueueLimit limits the messages that wait for one peer. Consensus repeats
	// messages that are dropped.
	sendQueueLimit = 1024
	// redialInterval is the time between two attempts to connect to a peer.
	redialInterval = 100 * time.Millisecond
	sendTimeout    = 2 * time.Second
	// bulkTimeout bounds the transfer of a large message, or of a part of it.
	bulkTimeout = 15 * time.Second
	// maxBatchBytes is the size of a batch, in bytes of log records and snapshots before
	// encoding, from which it takes no further message. The last message can take the
	// batch above it: sendSteps sends a batch below maxBatchBytes + minBulkBytes whole.
	maxBatchBytes = 256 << 10
	// minBulkBytes is the size from which a message is sent over the separate bulk
	// connection.
	minBulkBytes = 512 << 10
	partBytes    = 256 << 10
	// maxReassembledBytes limits a message that arrives in parts.
	maxReassembledBytes = 512 << 20
)

// stepBatch is the content of peer.step.
type stepBatch struct {
	From     consensus.ID        `json:"f"`
	Addr     string              `json:"a"` // of the sender, for replies of a receiver whose group does not include it yet
	Messages []consensus.Message `json:"m"`
}

// link sends messages to one peer in order over one connection.
type link struct {
	addr     string
	bulk     bool
	sender   stepBatch // sender's fields of each batch, without messages
	dial     member.Dialer
	messages chan consensus.Message
	renewals chan wire.Renewals
	conn     *rpc.Conn
	sent     sentMarks
	status   atomic.Pointer[linkStatus] // nil until the first attempt to connect
}

// linkStatus is what a link has met so far. It is immutable.
type linkStatus struct {
	reconnects int    // connections that were replaced because they didn't deliver
	connectErr string // of the last attempt to connect, empty after a success
}

// linkKey identifies a link. Large messages have a link of their own, so that the
// others do not wait for them.
type linkKey struct {
	addr string
	bulk bool
}

// links holds the links to the peers.
type links struct {
	dial   member.Dialer
	sender stepBatch
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	byKey  map[linkKey]*link // used by the event loop only
}

func newLinks(dial member.Dialer, sender consensus.ID, addr string) *links {
	ctx, cancel := context.WithCancel(context.Background())
	return &links{dial: dial, sender: stepBatch{From: sender, Addr: addr}, ctx: ctx, cancel: cancel, byKey: map[linkKey]*link{}}
}

func (ls *links) close() {
	ls.cancel()
	ls.wg.Wait()
}

func (ls *links) linkTo(addr string, bulk bool) *link {
	l := ls.byKey[linkKey{addr, bulk}]
	if l == nil {
		limit := sendQueueLimit
		if bulk {
			limit = 1 // consensus repeats a snapshot before a slow transfer of it has ended
		}
		l = &link{
			addr: addr, bulk: bulk, sender: ls.sender, dial: ls.dial,
			messages: make(chan consensus.Message, limit), renewals: make(chan wire.Renewals, 1),
		}
		ls.byKey[linkKey{addr, bulk}] = l
		ls.wg.Go(func() { l.run(ls.ctx) })
	}
	return l
}

// statusOf returns the status of the link for small messages to a peer.
func (ls *links) statusOf(addr string) linkStatus {
	l := ls.byKey[linkKey{addr, false}]
	if l == nil {
		return linkStatus{}
	}
	return l.currentStatus()
}

func (l *link) currentStatus() linkStatus {
	if s := l.status.Load(); s != nil {
		return *s
	}
	return linkStatus{}
}

// updateStatus changes the status. Only the goroutine of the link calls it.
func (l *link) updateStatus(change func(*linkStatus)) {
	s := l.currentStatus()
	change(&s)
	l.status.Store(&s)
}

// queueMessage queues a consensus message. It drops the message if the queue of the
// peer is full.
func (ls *links) queueMessage(addr string, m consensus.Message) {
	select {
	case ls.linkTo(addr, messageSize(m) >= minBulkBytes).messages <- m:
	default:
	}
}

// queueRenewals queues lease renewals for the leader. It drops them if earlier ones
// are still waiting.
func (ls *links) queueRenewals(addr string, r wire.Renewals) {
	select {
	case ls.linkTo(addr, false).renewals <- r:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	defer l.closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.messages:
			batch := l.sender
			batch.Messages = l.collectBatch(m)
			l.sendSteps(ctx, batch)
		case r := <-l.renewals:
			l.send(ctx, wire.MethodRenewals, r)
		}
	}
}

func (l *link) collectBatch(first consensus.Message) []consensus.Message {
	batch := []consensus.Message{first}
	for totalSize(batch) < maxBatchBytes {
		select {
		case m := <-l.messages:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// sendSteps sends a batch of messages. It splits the encoding of a batch of at least
// maxBatchBytes + minBulkBytes, for example a snapshot of large tables, into several
// RPC messages.
func (l *link) sendSteps(ctx context.Context, batch stepBatch) {
	if totalSize(batch.Messages) < maxBatchBytes+minBulkBytes {
		if l.send(ctx, wire.MethodStep, batch) && !l.bulk {
			l.sent.record(l.conn, batch.Messages)
		}
		return
	}
	data, err := json.Marshal(batch)
	if err != nil {
		klog.Errorf("control: Encoding messages for %s failed: %v.", l.addr, err)
		return
	}
	for offset := 0; offset < len(data); offset += partBytes {
		end := min(offset+partBytes, len(data))
		if !l.send(ctx, methodPart, messagePart{First: offset == 0, Last: end == len(data), Data: data[offset:end]}) {
			return
		}
	}
}

func (l *link) send(ctx context.Context, method string, params any) bool {
	timeout := sendTimeout
	if l.bulk {
		timeout = bulkTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !l.connect(ctx) {
		return false
	}
	if err := l.transmit(ctx, method, params); err != nil {
		klog.Warningf("control: Sending to %s failed: %v.", l.addr, err)
		l.closeConn()
		return false
	}
	return true
}

// transmit sends one message. A large one is under way alone, until the peer has received it:
// consensus repeats it at each heartbeat, and the copies would hold up each other and the
// probe of the connection.
func (l *link) transmit(ctx context.Context, method string, params any) error {
	if l.bulk {
		return l.conn.Call(ctx, method, params, nil)
	}
	return l.conn.Notify(ctx, method, params)
}

// connect dials the peer if there is no connection. If the peer is unreachable, it
// drops the queued messages, since they would be outdated once the peer is back.
func (l *link) connect(ctx context.Context) bool {
	if l.conn != nil {
		if !l.conn.IsClosed() {
			return true
		}
		if l.conn.ProbeFailed() {
			l.updateStatus(func(s *linkStatus) { s.reconnects++ })
		}
		l.closeConn()
	}
	conn, err := l.dial(ctx, l.addr)
	if err == nil {
		l.conn = conn
		l.updateStatus(func(s *linkStatus) { s.connectErr = "" })
		return true
	}
	l.updateStatus(func(s *linkStatus) { s.connectErr = err.Error() })
	select {
	case <-ctx.Done():
	case <-time.After(redialInterval):
	}
	for len(l.messages) > 0 {
		<-l.messages
	}
	return false
}

func (l *link) closeConn() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func totalSize(messages []consensus.Message) int {
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

// messagePart is a part of an encoded stepBatch.
type messagePart struct {
	First bool   `json:"f,omitempty"`
	Last  bool   `json:"l,omitempty"`
	Data  []byte `json:"d"`
}

// reassembly collects the parts that arrive on one connection.
type reassembly struct{ data []byte }

// add returns the complete content once the last part has arrived.
func (a *reassembly) add(p messagePart) (data []byte, err error) {
	if p.First {
		a.data = nil
	}
	if len(a.data)+len(p.Data) > maxReassembledBytes {
		a.data = nil
		return nil, verdict.Refuse(verdict.BadRequest, "the parts exceed %d bytes", maxReassembledBytes)
	}
	a.data = append(a.data, p.Data...)
	if !p.Last {
		return nil, nil
	}
	data, a.data = a.data, nil
	return data, nil
}
