// Package member is the session of an entry or agent with the control group. It
// registers the process, renews its lease, and keeps the view of the control
// state. It also carries admissions and job ends to the leader. Client serves
// the calls of operators.
package member

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Options configures a session.
type Options struct {
	// Directory holds the addresses of the control nodes.
	Directory *Directory
	Security  rpc.Security
	// Self is what the process announces. An empty nonce is replaced by a random one.
	Self     wire.Registration
	Counters *rpc.Counters // may be nil
	// Dial replaces the dialer in tests. Nil dials with Security and Counters.
	Dial Dialer
}

func (o Options) dialer() Dialer {
	if o.Dial != nil {
		return o.Dial
	}
	return func(ctx context.Context, addr string) (*rpc.Conn, error) {
		return rpc.Dial(ctx, addr, o.Security, nil, o.Counters)
	}
}

// Session is one incarnation's connection to the control group. All methods are
// safe for concurrent use.
type Session struct {
	inc     ids.Incarnation
	servers *servers
	admits  *batcher[wire.AdmitItem, wire.AdmitResult]
	ends    *batcher[wire.CompleteItem, struct{}]

	draining atomic.Bool
	view     atomic.Pointer[View]
	changes  chan struct{}
	gone     chan struct{}
	kick     chan struct{} // asks for a renewal at once

	mu      sync.Mutex
	tracker *tracker
	addrs   []string // of the control nodes, to which the tracker's indexes refer
	agent   bool
	served  string // address of the latest good reply

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Open registers the process and waits for its first view. It retries until ctx
// ends and then returns a *verdict.Error.
func Open(ctx context.Context, o Options) (*Session, error) {
	addrs := o.Directory.Addrs()
	if len(addrs) == 0 {
		return nil, verdict.Refuse(verdict.BadRequest, "no control servers are given")
	}
	if o.Self.Nonce == "" {
		o.Self.Nonce = NewNonce()
	}
	s := &Session{
		servers: newServers(o.Directory, o.dialer()),
		addrs:   addrs,
		changes: make(chan struct{}, 1),
		gone:    make(chan struct{}),
		kick:    make(chan struct{}, 1),
		agent:   o.Self.Kind == wire.KindAgent,
		tracker: newTracker(len(addrs), firstServer(o.Self.Nonce), o.Self.Kind),
	}
	s.view.Store(s.tracker.view)
	if err := s.start(ctx, o.Self); err != nil {
		s.servers.close()
		return nil, err
	}
	return s, nil
}

func (s *Session) start(ctx context.Context, self wire.Registration) error {
	for {
		ended, err := s.register(ctx, self)
		if err != nil {
			return err
		}
		if !ended {
			break
		}
		// The lease ran out before the first view arrived, so nothing was done
		// under this incarnation.
		self.Nonce = NewNonce()
		s.tracker.gone = false
	}
	if s.agent {
		// Only the registration needs the leader, which would otherwise hold a
		// connection of each agent of its region.
		s.servers.closeOthers(s.served)
	}
	run, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.admits = newBatcher(run, s.sendAdmits)
	s.ends = newBatcher(run, s.sendEnds)
	s.done.Go(func() { s.loop(run) })
	s.done.Go(s.admits.run)
	s.done.Go(s.ends.run)
	klog.Infof("member: Registered as incarnation %d.", s.inc)
	return nil
}

// register registers the process and fetches the first view. ended is set when
// the incarnation has ended meanwhile.
func (s *Session) register(ctx context.Context, self wire.Registration) (ended bool, err error) {
	var r wire.RegisterReply
	if err := s.servers.callLeader(ctx, wire.MethodRegister, self, &r); err != nil {
		return false, err
	}
	s.inc = r.Incarnation
	for {
		s.renew(ctx)
		if s.tracker.gone {
			return true, nil
		}
		if s.View().Version >= ids.Version(s.inc) {
			return false, nil
		}
		if !clock.Sleep(ctx, retryPause) {
			return false, verdict.Refuse(verdict.NoQuorum, "no control node served the first view").After(time.Second)
		}
	}
}

// NewNonce returns a random nonce.
func NewNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// firstServer spreads the members over the servers.
func firstServer(nonce string) int {
	n := 0
	for _, c := range []byte(nonce) {
		n = (n*31 + int(c)) & 0xffff
	}
	return n
}

// Incarnation returns the number under which the process is registered.
func (s *Session) Incarnation() ids.Incarnation { return s.inc }

// View returns the view held now. It is never nil.
func (s *Session) View() *View { return s.view.Load() }

// Changes receives a value after the content of the view has changed. Several
// changes may share one value.
func (s *Session) Changes() <-chan struct{} { return s.changes }

// Gone is closed when the control group has ended the incarnation, or after
// Leave. The process must refuse new work and may open a new session.
func (s *Session) Gone() <-chan struct{} { return s.gone }

// Current reports whether the view was confirmed at most wire.StaleAfter before now.
func (s *Session) Current(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.current(now)
}

// Confirmed returns the time at which the view is known to have been current.
func (s *Session) Confirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.confirmed
}

// SetDraining announces with the next renewals whether the member is draining.
func (s *Session) SetDraining(d bool) {
	if s.draining.Swap(d) != d {
		s.Refresh()
	}
}

// Refresh asks for a renewal at once.
func (s *Session) Refresh() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Job returns the record of a job from any control node that holds it.
func (s *Session) Job(ctx context.Context, job ids.Job) (wire.JobRecord, error) {
	var rec wire.JobRecord
	err := s.servers.callAny(ctx, wire.MethodJob, wire.JobQuery{Job: job}, &rec)
	return rec, err
}

// JobByKey returns the record of a submission, from the leader if it is known.
func (s *Session) JobByKey(ctx context.Context, team ids.Team, key string) (wire.JobRecord, error) {
	var rec wire.JobRecord
	err := s.servers.callLeader(ctx, wire.MethodJob, wire.JobQuery{Team: team, Key: key}, &rec)
	return rec, err
}

// Leave ends the incarnation and closes the session.
func (s *Session) Leave(ctx context.Context) error {
	err := s.servers.callLeader(ctx, wire.MethodLeave, wire.Leave{Incarnation: s.inc}, nil)
	s.end()
	s.Close()
	return err
}

// Close ends the session without a message. The lease runs out by itself.
func (s *Session) Close() {
	s.cancel()
	s.servers.close()
	s.done.Wait()
}

// endIfGone reports the end of the incarnation once the control group has told it.
func (s *Session) endIfGone() bool {
	s.mu.Lock()
	gone := s.tracker.gone
	s.mu.Unlock()
	if gone {
		klog.Warningf("member: Incarnation %d has been ended by the control group.", s.inc)
		s.end()
	}
	return gone
}

func (s *Session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.gone = true
	select {
	case <-s.gone:
	default:
		close(s.gone)
	}
}

// loop renews until the session is closed or the incarnation has ended.
func (s *Session) loop(ctx context.Context) {
	timer := time.NewTimer(s.pauseBeforeNext())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.gone:
			return
		case <-s.kick:
		case <-timer.C:
		}
		s.renew(ctx)
		if s.endIfGone() {
			return
		}
		timer.Reset(s.pauseBeforeNext())
	}
}

func (s *Session) pauseBeforeNext() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.pause(time.Now())
}

// renew sends one renewal and takes over the reply.
func (s *Session) renew(ctx context.Context) {
	addr, timeout, req := s.nextRenewal()
	var r wire.RenewReply
	sent := time.Now()
	err := s.servers.call(ctx, timeout, addr, wire.MethodRenew, req, &r)
	if err != nil {
		s.renewalFailed(ctx, addr, err)
		return
	}
	r.Resolve(req.Have)
	s.renewed(addr, sent, r)
}

// nextRenewal returns the control node to ask, for how long to wait, and the message.
func (s *Session) nextRenewal() (addr string, timeout time.Duration, req wire.Renew) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followDirectory()
	req = wire.Renew{
		Incarnation: s.inc, Have: s.tracker.view.Version,
		Draining: s.draining.Load(), ControlGroupHash: wire.GroupHash(s.addrs),
	}
	return s.addrs[s.tracker.server], s.tracker.timeout(), req
}

// renewalFailed chooses another control node. One line tells that the control group was
// lost, and one in renewed that it is back.
func (s *Session) renewalFailed(ctx context.Context, addr string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.failed()
	if s.tracker.allFailed() {
		s.servers.dir.forgetGroup()
	}
	if s.tracker.failures == 1 && ctx.Err() == nil {
		klog.InfoS("member: Control node lost", "addr", addr, "incarnation", s.inc, "version", s.tracker.view.Version,
			"confirmedAgeMs", time.Since(s.tracker.confirmed).Milliseconds(), "err", err)
	}
}

// renewed takes over a reply.
func (s *Session) renewed(addr string, sent time.Time, r wire.RenewReply) {
	s.mu.Lock()
	if s.tracker.failures > 0 {
		klog.InfoS("member: Control node reached", "addr", addr, "incarnation", s.inc, "failures", s.tracker.failures,
			"version", r.Version, "confirmedAgeMs", r.ConfirmedAgeMS)
	}
	if len(r.Control) > 0 {
		klog.InfoS("member: Control group told", "nodes", r.Control)
		s.servers.dir.setGroup(r.Control)
	}
	changed := s.tracker.accept(sent, r)
	s.view.Store(s.tracker.view)
	moved := s.agent && s.served != addr
	s.served = addr
	s.mu.Unlock()
	if moved {
		s.servers.closeOthers(addr)
	}
	if changed {
		select {
		case s.changes <- struct{}{}:
		default:
		}
	}
}

// followDirectory goes on with the addresses that the directory holds now. The caller
// holds s.mu.
func (s *Session) followDirectory() {
	addrs := s.servers.dir.Addrs()
	if slices.Equal(addrs, s.addrs) {
		return
	}
	s.tracker.resize(len(addrs), slices.Index(addrs, s.addrs[s.tracker.server]))
	s.addrs = addrs
}

// Admit asks for the record of a job. Admissions that arrive while a message is
// on its way share the next one. The owner is set to this incarnation, and an
// empty nonce to a random one.
//
// It retries until ctx ends. It then returns NotRun with reason no-quorum: the
// record may exist, but nothing of the job has run. A later AdmitResult.Duplicate
// or an entry.bodies request may name this incarnation as the owner of such a
// record; the entry then starts the job under it.
func (s *Session) Admit(ctx context.Context, item wire.AdmitItem) (wire.AdmitResult, error) {
	item.Owner = s.inc
	if item.Nonce == "" {
		item.Nonce = NewNonce()
	}
	r, err := s.admits.do(ctx, item)
	if err != nil {
		v := verdict.FromError(err)
		return wire.AdmitResult{}, verdict.Refuse(v.Reason, "%s", v.Detail).After(time.Second)
	}
	return r, nil
}

// Complete records the end of a job. It retries until ctx ends. It is safe to
// repeat.
func (s *Session) Complete(ctx context.Context, item wire.CompleteItem) error {
	_, err := s.ends.do(ctx, item)
	return err
}

func (s *Session) sendAdmits(ctx context.Context, items []wire.AdmitItem) ([]wire.AdmitResult, error) {
	var r wire.AdmitReply
	if err := s.servers.callLeader(ctx, wire.MethodAdmit, wire.Admit{Items: items}, &r); err != nil {
		return nil, err
	}
	if len(r.Results) != len(items) {
		return nil, verdict.FromError(errors.Errorf("%d results for %d admissions", len(r.Results), len(items)))
	}
	return r.Results, nil
}

func (s *Session) sendEnds(ctx context.Context, items []wire.CompleteItem) ([]struct{}, error) {
	if err := s.servers.callLeader(ctx, wire.MethodComplete, wire.Complete{Items: items}, nil); err != nil {
		return nil, err
	}
	return make([]struct{}, len(items)), nil
}
