package entry

import (
	"context"
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// peerTimeout bounds a call to another entry, in addition to the caller's wait.
	peerTimeout = 2 * time.Second
	// maxPeerAnswerBytes bounds the results in one answer to another entry. It leaves
	// room for base64 and headers within wire.MaxMessageBytes.
	maxPeerAnswerBytes = 10 << 20
)

// peers keeps connections to other entries, opened on first use.
type peers struct {
	security rpc.Security
	counters *rpc.Counters

	mu    sync.Mutex
	conns map[string]*rpc.Conn // by address
}

func newPeers(security rpc.Security, counters *rpc.Counters) *peers {
	return &peers{security: security, counters: counters, conns: map[string]*rpc.Conn{}}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		c.Close()
		delete(p.conns, addr)
	}
}

// conn returns the connection to an address, and dials if there is none. When two
// calls dial at once, the first connection is kept.
func (p *peers) conn(ctx context.Context, addr string) (*rpc.Conn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil && !c.IsClosed() {
		return c, nil
	}
	c, err := rpc.Dial(ctx, addr, p.security, nil, p.counters)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.conns[addr]; old != nil && !old.IsClosed() {
		c.Close()
		return old, nil
	}
	p.conns[addr] = c
	go p.removeWhenClosed(addr, c)
	return c, nil
}

// removeWhenClosed removes a connection from the table after it has ended.
func (p *peers) removeWhenClosed(addr string, c *rpc.Conn) {
	<-c.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
}

// call makes one call, bounded by wait and peerTimeout.
func (p *peers) call(ctx context.Context, wait time.Duration, addr, method string, params, result any) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	c, err := p.conn(ctx, addr)
	if err != nil {
		return verdict.FromError(err)
	}
	return verdict.FromError(c.Call(ctx, method, params, result))
}

func (p *peers) queryStatus(ctx context.Context, addr string, id ids.Job, wait time.Duration) (wire.JobStatus, *verdict.Error) {
	var st wire.JobStatus
	err := p.call(ctx, wait, addr, wire.MethodState, wire.StateQuery{Job: id, WaitMS: wait.Milliseconds()}, &st)
	return st, err
}

func (p *peers) sendCancel(ctx context.Context, addr string, id ids.Job) (wire.JobStatus, *verdict.Error) {
	var st wire.JobStatus
	err := p.call(ctx, cancelWait, addr, wire.MethodCancel, wire.JobQuery{Job: id}, &st)
	return st, err
}

func (p *peers) sendDelete(ctx context.Context, addr string, d wire.DeleteBatches) (wire.BatchesDeleted, *verdict.Error) {
	var reply wire.BatchesDeleted
	err := p.call(ctx, 0, addr, wire.MethodDelete, d, &reply)
	return reply, err
}

func (p *peers) sendBodies(ctx context.Context, addr string, b wire.Bodies) *verdict.Error {
	return p.call(ctx, 0, addr, wire.MethodBodies, b, nil)
}

// mux returns the RPC methods for other entries and operators.
func (e *Entry) mux() *rpc.Mux {
	m := rpc.NewMux()
	m.Concurrent(wire.MethodState, rpc.Handle(e.serveState))
	m.Concurrent(wire.MethodBodies, rpc.Handle(e.serveBodies))
	m.Concurrent(wire.MethodCancel, rpc.Handle(e.serveCancel))
	m.Concurrent(wire.MethodDelete, rpc.Handle(func(ctx context.Context, _ *rpc.Conn, d wire.DeleteBatches) (wire.BatchesDeleted, error) {
		return e.serveDelete(ctx, d)
	}))
	m.Concurrent(wire.MethodDump, rpc.Serial(rpc.Handle(func(context.Context, *rpc.Conn, wire.Empty) (any, error) {
		return e.Dump(), nil
	})))
	return m
}

// ownedJob returns the row of a job at this entry, or an error with the reason
// unknown-job.
func (e *Entry) ownedJob(id ids.Job) (*job, error) {
	if j := e.jobs.get(id); j != nil {
		return j, nil
	}
	return nil, verdict.Refuse(verdict.UnknownJob, "job %d is not at this entry", id)
}

func (e *Entry) serveState(_ context.Context, _ *rpc.Conn, q wire.StateQuery) (wire.JobStatus, error) {
	j, err := e.ownedJob(q.Job)
	if err != nil {
		return wire.JobStatus{}, err
	}
	wait := min(max(time.Duration(q.WaitMS)*time.Millisecond, 0), maxWait)
	return e.statusForPeer(j, callerWait{deadline: time.Now().Add(wait)})
}

func (e *Entry) serveCancel(ctx context.Context, _ *rpc.Conn, q wire.JobQuery) (wire.JobStatus, error) {
	j, err := e.ownedJob(q.Job)
	if err != nil {
		return wire.JobStatus{}, err
	}
	j.incarnation.loop.Post(func(now time.Duration) { j.incarnation.core.Cancel(now, q.Job) })
	return e.statusForPeer(j, callerWait{deadline: time.Now().Add(cancelWait)})
}

// statusForPeer waits for a job and returns its status for another entry.
func (e *Entry) statusForPeer(j *job, w callerWait) (wire.JobStatus, error) {
	st, lost := e.awaitJob(j, w)
	if lost != nil {
		return wire.JobStatus{}, lost
	}
	size := 0
	for _, a := range st.Results {
		size += len(a.Body) + answerOverheadBytes
	}
	if size > maxPeerAnswerBytes {
		st.Results, st.Reason = nil, verdict.AnswerExpired
		st.Detail = "the answer is too large for another entry; ask the owner"
	}
	return st, nil
}

// serveBodies accepts the bodies of a job that this entry owns. The sending entry has
// checked their hash; it is checked again, because a wrong body would be run.
func (e *Entry) serveBodies(ctx context.Context, _ *rpc.Conn, b wire.Bodies) (wire.Empty, error) {
	inc := e.incarnation.Load()
	rec, err := inc.readRecord(ctx, b.Job)
	if err != nil {
		return wire.Empty{}, err
	}
	s := submission{Team: rec.Team, Service: rec.Service, Key: rec.Key, Tasks: b.Tasks, Deadline: timeLeft(rec)}
	s.BodyHash = hashTasks(rec.Service, b.Tasks)
	switch {
	case rec.Owner != inc.self:
		return wire.Empty{}, verdict.Refuse(verdict.UnknownJob, "job %d has another owner", b.Job)
	case !rec.HasBody(s.BodyHash):
		return wire.Empty{}, verdict.Refuse(verdict.KeyReuse, "job %d has another body", b.Job)
	case rec.State == wire.JobOpen:
		inc.supplyBodies(rec, s, inc.loop.Now())
	}
	return wire.Empty{}, nil
}
