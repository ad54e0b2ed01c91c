package member

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// renewTimeout bounds one renewal. It is short enough that a member can try two
	// unreachable servers and reach a third before its view is stale.
	renewTimeout = 500 * time.Millisecond
	// maxTimeoutDoublings limits the timeout of a renewal to 8 s.
	maxTimeoutDoublings = 4
	// maxAttemptTimeout bounds one attempt of a call other than a renewal. It is above
	// the 2 s within which a new leader is elected.
	maxAttemptTimeout = 3 * time.Second
	// One attempt may take the time left divided by attemptDivisor, but at least
	// minAttemptTimeout, which a round trip with a synced write needs.
	attemptDivisor    = 3
	minAttemptTimeout = 150 * time.Millisecond
	// retryPause is the pause before a retry, for example while no leader is known.
	retryPause = 50 * time.Millisecond
	// maxHops is the number of leader hints at which a call pauses and tries the next
	// server instead of following the last hint. The count then starts again; an
	// attempt in between that fails without a hint does not reset it.
	maxHops = 2
	// connectTimeout bounds an attempt to connect. It doubles with each round of
	// failures at all control nodes, up to maxConnectTimeout. TCP retransmits a lost
	// SYN only after 1 s, so it is faster to try another node than to wait for one
	// whose VM was off when the SYN was sent.
	connectTimeout    = 250 * time.Millisecond
	maxConnectTimeout = 2 * time.Second
)

// Dialer opens a connection to a control node.
type Dialer func(ctx context.Context, addr string) (*rpc.Conn, error)

// serverPool keeps at most one connection to each control node and routes calls to the
// leader or to any node. It is safe for concurrent use.
type serverPool struct {
	dial      Dialer
	directory *Directory

	mu        sync.Mutex
	conns     map[string]*rpc.Conn
	leader    string // address of the last known leader, empty if unknown
	nextIndex int    // server to try while no leader is known
	closed    bool
	attempts  map[*attempt]struct{} // those under way
	// connectFailures counts the failed attempts to connect since the last success.
	connectFailures int
}

func newServerPool(directory *Directory, dial Dialer) *serverPool {
	return &serverPool{dial: dial, directory: directory, conns: map[string]*rpc.Conn{}, attempts: map[*attempt]struct{}{}}
}

// close closes all connections. Later calls are refused.
func (s *serverPool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for addr, c := range s.conns {
		c.Close()
		delete(s.conns, addr)
	}
}

// conn returns the connection to a server and opens it if there is none.
func (s *serverPool) conn(ctx context.Context, addr string) (*rpc.Conn, error) {
	s.mu.Lock()
	c, closed := s.conns[addr], s.closed
	s.mu.Unlock()
	if closed {
		return nil, verdict.Refuse(verdict.Draining, "the session is closed")
	}
	if c != nil && !c.IsClosed() {
		return c, nil
	}
	c, err := s.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return nil, verdict.Refuse(verdict.Draining, "the session is closed")
	}
	if other := s.conns[addr]; other != nil && !other.IsClosed() {
		c.Close()
		return other, nil
	}
	s.conns[addr] = c
	return c, nil
}

// connect opens a connection, with the timeout that nextConnectTimeout returns.
func (s *serverPool) connect(ctx context.Context, addr string) (*rpc.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.nextConnectTimeout())
	defer cancel()
	c, err := s.dial(ctx, addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.connectFailures++
		return nil, err
	}
	s.connectFailures = 0
	return c, nil
}

// nextConnectTimeout returns the timeout of the next attempt to connect.
func (s *serverPool) nextConnectTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := connectTimeout
	for range s.connectFailures / max(len(s.directory.Addrs()), 1) {
		if timeout >= maxConnectTimeout {
			return maxConnectTimeout
		}
		timeout *= 2
	}
	return timeout
}

// dropConn closes a connection and removes it from the pool.
func (s *serverPool) dropConn(addr string, c *rpc.Conn) {
	s.mu.Lock()
	if s.conns[addr] == c {
		delete(s.conns, addr)
	}
	s.mu.Unlock()
	c.Close()
}

// abortConn is like dropConn, also while a write to the connection is blocked.
func (s *serverPool) abortConn(addr string, c *rpc.Conn) {
	c.Abort()
	s.dropConn(addr, c)
}

// closeOthers closes the connections to all servers except the one at addr.
func (s *serverPool) closeOthers(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, c := range s.conns {
		if other != addr {
			c.Close()
			delete(s.conns, other)
		}
	}
}

// call sends a request to one server and waits for the reply. It drops the connection
// when the call fails with reason connection-failed, as it does when no reply arrives in time.
func (s *serverPool) call(ctx context.Context, timeout time.Duration, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := s.conn(ctx, addr)
	if err != nil {
		return err
	}
	// A write to a server that doesn't read ends only with its connection.
	stop := context.AfterFunc(ctx, func() {
		if isSuperseded(ctx) {
			s.abortConn(addr, c)
		}
	})
	defer stop()
	err = c.Call(ctx, method, params, result)
	if err != nil && verdict.FromError(err).Reason == verdict.ConnectionFailed {
		s.dropConn(addr, c)
	}
	return err
}

// leaderOrNext returns the address of the last known leader, or of the server to try next
// if no leader is known. The caller holds mu.
func (s *serverPool) leaderOrNext() string {
	if s.leader != "" {
		return s.leader
	}
	addrs := s.directory.Addrs()
	return addrs[s.nextIndex%len(addrs)]
}

func (s *serverPool) setLeader(addr string) {
	s.mu.Lock()
	s.leader = addr
	s.mu.Unlock()
}

// advance forgets the leader and moves on to the next server.
func (s *serverPool) advance() {
	s.mu.Lock()
	s.leader = ""
	s.nextIndex++
	s.mu.Unlock()
}

// callLeader sends a request to the last known leader, or to the next server while none is
// known, and retries until it is answered or ctx ends. The request must be idempotent, since
// a retry repeats one whose reply was lost. When callLeader gives up, the verdict is NotRun
// only if no attempt can have had an effect.
func (s *serverPool) callLeader(ctx context.Context, method string, params, result any) error {
	mayHaveRun, hops := false, 0
	for {
		a := s.beginAttempt(ctx)
		err := s.call(a.ctx, attemptTimeout(ctx), a.addr, method, params, result)
		superseded := isSuperseded(a.ctx)
		s.endAttempt(a)
		if err == nil {
			if !superseded {
				s.setLeader(a.addr)
			}
			return nil
		}
		v := verdict.FromError(err)
		mayHaveRun = mayHaveRun || v.Verdict == verdict.MayHaveRun
		if ctx.Err() != nil {
			s.advance() // otherwise the next call would start at a server that may not answer
			return giveUpError(mayHaveRun, method, v)
		}
		if superseded {
			continue
		}
		hint := parseLeaderHint(v)
		switch retryActionFor(v, hint) {
		case returnFailure:
			return finalError(mayHaveRun, v)
		case tryHintedLeader:
			s.setLeader(hint.Addr)
			if hops++; hops < maxHops {
				continue
			}
			hops = 0 // nodes that refer to each other as leader are about to elect another one
			s.advance()
		case tryNextServer:
			s.advance()
		}
		if !clock.Sleep(ctx, retryPause) {
			return giveUpError(mayHaveRun, method, v)
		}
	}
}

// attemptTimeout returns the timeout of one attempt. A call with a deadline gives each
// attempt a part of the time left, so that it can skip servers that don't answer.
func attemptTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxAttemptTimeout
	}
	return min(maxAttemptTimeout, max(time.Until(deadline)/attemptDivisor, minAttemptTimeout))
}

// callAny sends a read request to the servers in turn until one answers or ctx ends.
func (s *serverPool) callAny(ctx context.Context, method string, params, result any) error {
	for attempt := 0; ; attempt++ {
		addrs := s.directory.Addrs()
		err := s.call(ctx, attemptTimeout(ctx), addrs[attempt%len(addrs)], method, params, result)
		if err == nil {
			return nil
		}
		v := verdict.FromError(err)
		if retryActionFor(v, wire.LeaderHint{}) == returnFailure {
			return v
		}
		if !clock.Sleep(ctx, retryPause) {
			return giveUpError(false, method, v)
		}
	}
}

// giveUpError returns the error of a call whose context ended before an attempt succeeded.
// mayHaveRun tells whether any attempt may have had an effect.
func giveUpError(mayHaveRun bool, method string, last *verdict.Error) *verdict.Error {
	if mayHaveRun {
		return verdict.Unknown(verdict.NoQuorum, "%s had no answer; last failure: %v", method, last).After(time.Second)
	}
	return verdict.Refuse(verdict.NoQuorum, "%s found no leader; last failure: %v", method, last).After(time.Second)
}

// finalError returns the error of a call whose last attempt failed with v. A refusal holds for
// that attempt only; mayHaveRun tells whether any attempt may have had an effect.
func finalError(mayHaveRun bool, v *verdict.Error) *verdict.Error {
	if !mayHaveRun {
		return v
	}
	e := *v
	e.Verdict = verdict.MayHaveRun
	return &e
}

// parseLeaderHint returns the leader that a not-leader refusal names, if it names one.
func parseLeaderHint(v *verdict.Error) wire.LeaderHint {
	var h wire.LeaderHint
	if v.Reason == verdict.NotLeader {
		_ = json.Unmarshal([]byte(v.Detail), &h) // without a hint the next server is tried
	}
	return h
}
