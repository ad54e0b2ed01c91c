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
	// renewTimeout bounds one renewal, so that two unreachable servers can be
	// passed over before the view is stale.
	renewTimeout = 500 * time.Millisecond
	// maxDoublings bounds the growth of renewTimeout, to 8 s.
	maxDoublings = 4
	// writeTimeout bounds one attempt of a write at one server. It is above the
	// 2 s in which a new leader is elected.
	writeTimeout = 3 * time.Second
	// attemptShare is the part of the time left that one attempt may take, and
	// minAttempt the least time for a round trip with a synced write.
	attemptShare = 3
	minAttempt   = 150 * time.Millisecond
	// retryPause separates attempts while no leader is known.
	retryPause = 50 * time.Millisecond
	// maxHops is how many hints are followed without a pause.
	maxHops = 2
	// connectTimeout bounds an attempt to connect. It doubles with each failure in a
	// row, up to maxConnectTimeout. TCP repeats a lost connection request only after
	// 1 s, so another node is reached faster than one whose VM was off a moment ago.
	connectTimeout    = 250 * time.Millisecond
	maxConnectTimeout = 2 * time.Second
)

// Dialer opens a connection to a control node.
type Dialer func(ctx context.Context, addr string) (*rpc.Conn, error)

// servers keeps at most one connection to each control node and finds the leader.
type servers struct {
	dial Dialer
	dir  *Directory

	mu     sync.Mutex
	conns  map[string]*rpc.Conn
	leader string // address of the last known leader, empty if unknown
	next   int
	closed bool
	// connectFailures counts the failed attempts to connect since one succeeded.
	connectFailures int
}

func newServers(dir *Directory, dial Dialer) *servers {
	return &servers{dial: dial, dir: dir, conns: map[string]*rpc.Conn{}}
}

func (s *servers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for addr, c := range s.conns {
		c.Close()
		delete(s.conns, addr)
	}
}

func (s *servers) conn(ctx context.Context, addr string) (*rpc.Conn, error) {
	s.mu.Lock()
	c, closed := s.conns[addr], s.closed
	s.mu.Unlock()
	if closed {
		return nil, verdict.Refuse(verdict.Draining, "the session is closed")
	}
	if c != nil {
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
	if other := s.conns[addr]; other != nil {
		c.Close()
		return other, nil
	}
	s.conns[addr] = c
	return c, nil
}

// connect opens a connection within the time of this attempt.
func (s *servers) connect(ctx context.Context, addr string) (*rpc.Conn, error) {
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

// nextConnectTimeout returns how long the next attempt to connect may take.
func (s *servers) nextConnectTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := connectTimeout
	for range s.connectFailures {
		if limit >= maxConnectTimeout {
			return maxConnectTimeout
		}
		limit *= 2
	}
	return limit
}

func (s *servers) drop(addr string, c *rpc.Conn) {
	s.mu.Lock()
	if s.conns[addr] == c {
		delete(s.conns, addr)
	}
	s.mu.Unlock()
	c.Close()
}

// closeOthers closes the connections to all servers but one.
func (s *servers) closeOthers(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, c := range s.conns {
		if other != addr {
			c.Close()
			delete(s.conns, other)
		}
	}
}

// call asks one server. It drops the connection when no answer arrives.
func (s *servers) call(ctx context.Context, timeout time.Duration, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := s.conn(ctx, addr)
	if err != nil {
		return err
	}
	err = c.Call(ctx, method, params, result)
	if err != nil && verdict.FromError(err).Reason == verdict.ConnectionFailed {
		s.drop(addr, c)
	}
	return err
}

func (s *servers) target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		return s.leader
	}
	addrs := s.dir.Addrs()
	return addrs[s.next%len(addrs)]
}

func (s *servers) setLeader(addr string) {
	s.mu.Lock()
	s.leader = addr
	s.mu.Unlock()
}

func (s *servers) skip() {
	s.mu.Lock()
	s.leader = ""
	s.next++
	s.mu.Unlock()
}

// callLeader repeats a call at the leader until it is answered or ctx ends. The
// call must be safe to repeat. When it gives up, the verdict is NotRun only if
// no attempt can have had an effect.
func (s *servers) callLeader(ctx context.Context, method string, params, result any) error {
	unknown, hops := false, 0
	for {
		addr := s.target()
		err := s.call(ctx, attemptTimeout(ctx), addr, method, params, result)
		if err == nil {
			s.setLeader(addr)
			return nil
		}
		v := verdict.FromError(err)
		unknown = unknown || v.Verdict == verdict.MayHaveRun
		if ctx.Err() != nil {
			s.skip() // the next call must not begin with a server that does not answer
			return giveUp(unknown, method, v)
		}
		hint := leaderHint(v)
		switch afterFailure(v, hint) {
		case stepReturn:
			return v
		case stepHint:
			s.setLeader(hint.Addr)
			if hops++; hops < maxHops {
				continue
			}
			hops = 0 // nodes that name each other are about to elect another leader
			s.skip()
		case stepNext:
			s.skip()
		}
		if !clock.Sleep(ctx, retryPause) {
			return giveUp(unknown, method, v)
		}
	}
}

// attemptTimeout bounds one attempt so that a call with a deadline can pass over
// servers that don't answer.
func attemptTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return writeTimeout
	}
	return min(writeTimeout, max(time.Until(deadline)/attemptShare, minAttempt))
}

// callAny repeats a read at one server after the other until it is answered or
// ctx ends.
func (s *servers) callAny(ctx context.Context, method string, params, result any) error {
	for n := 0; ; n++ {
		addrs := s.dir.Addrs()
		err := s.call(ctx, attemptTimeout(ctx), addrs[n%len(addrs)], method, params, result)
		if err == nil {
			return nil
		}
		v := verdict.FromError(err)
		if afterFailure(v, wire.LeaderHint{}) == stepReturn {
			return v
		}
		if !clock.Sleep(ctx, retryPause) {
			return giveUp(false, method, v)
		}
	}
}

func giveUp(unknown bool, method string, last *verdict.Error) *verdict.Error {
	if unknown {
		return verdict.Unknown(verdict.NoQuorum, "%s had no answer; last failure: %v", method, last).After(time.Second)
	}
	return verdict.Refuse(verdict.NoQuorum, "%s found no leader; last failure: %v", method, last).After(time.Second)
}

func leaderHint(v *verdict.Error) wire.LeaderHint {
	var h wire.LeaderHint
	if v.Reason == verdict.NotLeader {
		_ = json.Unmarshal([]byte(v.Detail), &h) // without a hint the next server is asked
	}
	return h
}
