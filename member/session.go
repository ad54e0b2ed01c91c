// Package member connects an entry or agent to the control group. A Session registers the
// process, renews its lease, keeps its view of the control state up to date, and sends job
// admissions and completions to the leader. A Client sends operators' requests.
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
	// Self is the registration of this process. An empty nonce is replaced by a random one.
	Self     wire.Registration
	Counters *rpc.Counters // may be nil
	// Dial replaces the dialer in tests. Nil dials with Security and Counters.
	Dial Dialer
}

// dialer returns Dial or, if it is nil, a dialer that uses Security and Counters.
func (o Options) dialer() Dialer {
	if o.Dial != nil {
		return o.Dial
	}
	return func(ctx context.Context, addr string) (*rpc.Conn, error) {
		return rpc.Dial(ctx, addr, o.Security, nil, o.Counters)
	}
}

// Session represents one incarnation of a process at the control group. All methods are
// safe for concurrent use.
type Session struct {
	incarnation ids.Incarnation
	serverPool  *serverPool
	admissions  *batcher[wire.AdmitItem, wire.AdmitResult]
	completions *batcher[wire.CompleteItem, struct{}]

	draining atomic.Bool
	view     atomic.Pointer[View]
	changes  chan struct{}
	ended    chan struct{}
	renewNow chan struct{} // requests a renewal without delay

	mu             sync.Mutex
	renewalTracker *renewalTracker
	controlAddrs   []string // of the control nodes, indexed by renewalTracker.serverIndex
	isAgent        bool
	lastGoodAddr   string // of the control node that sent the latest reply to a renewal
	leaderTerm     uint64 // of the latest leader that a reply has named

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Open registers the process and waits for its first view. It retries until ctx ends and
// then returns a *verdict.Error.
func Open(ctx context.Context, o Options) (*Session, error) {
	controlAddrs := o.Directory.Addrs()
	if len(controlAddrs) == 0 {
		return nil, verdict.Refuse(verdict.BadRequest, "no control servers are given")
	}
	if o.Self.Nonce == "" {
		o.Self.Nonce = NewNonce()
	}
	s := &Session{
		serverPool:     newServerPool(o.Directory, o.dialer()),
		controlAddrs:   controlAddrs,
		changes:        make(chan struct{}, 1),
		ended:          make(chan struct{}),
		renewNow:       make(chan struct{}, 1),
		isAgent:        o.Self.Kind == wire.KindAgent,
		renewalTracker: newRenewalTracker(len(controlAddrs), nonceHash(o.Self.Nonce), o.Self.Kind),
	}
	s.view.Store(s.renewalTracker.view)
	if err := s.start(ctx, o.Self); err != nil {
		s.serverPool.close()
		return nil, err
	}
	return s, nil
}

// start registers the process, again if the incarnation ends before its first view, and
// starts the session's goroutines.
func (s *Session) start(ctx context.Context, self wire.Registration) error {
	for {
		endedEarly, err := s.register(ctx, self)
		if err != nil {
			return err
		}
		if !endedEarly {
			break
		}
		// The lease expired before the first view arrived. The incarnation has done
		// no work, so the process can register as a new one.
		self.Nonce, self.Previous = NewNonce(), s.incarnation
		s.renewalTracker.ended = false
	}
	if s.isAgent {
		// An agent needs the leader only to register. Without this the leader would
		// keep a connection open for each agent of its region.
		s.serverPool.closeOthers(s.lastGoodAddr)
	}
	run, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.admissions = newBatcher(run, s.sendAdmissions)
	s.completions = newBatcher(run, s.sendCompletions)
	s.goroutines.Go(func() { s.renewLoop(run) })
	s.goroutines.Go(s.admissions.run)
	s.goroutines.Go(s.completions.run)
	klog.Infof("member: Registered as incarnation %d.", s.incarnation)
	return nil
}

// register registers the process and fetches the first view. endedEarly is true if the
// incarnation ended before the view arrived.
func (s *Session) register(ctx context.Context, self wire.Registration) (endedEarly bool, err error) {
	var r wire.RegisterReply
	if err := s.serverPool.callLeader(ctx, wire.MethodRegister, self, &r); err != nil {
		return false, err
	}
	s.incarnation = r.Incarnation
	for {
		s.renew(ctx)
		if s.renewalTracker.ended {
			return true, nil
		}
		// The id of an incarnation is the log index of its registration, so a view of
		// this version or a later one includes the registration.
		if s.View().Version >= ids.Version(s.incarnation) {
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

// nonceHash returns a hash of a nonce, as a seed that spreads members over the servers.
func nonceHash(nonce string) int {
	hash := 0
	for _, c := range []byte(nonce) {
		hash = (hash*31 + int(c)) & 0xffff
	}
	return hash
}

// Incarnation returns the incarnation as which the process is registered.
func (s *Session) Incarnation() ids.Incarnation { return s.incarnation }

// View returns the latest view. It is never nil.
func (s *Session) View() *View { return s.view.Load() }

// Changes returns a channel that receives a value after the content of the view has
// changed. Several changes may share one value.
func (s *Session) Changes() <-chan struct{} { return s.changes }

// Ended returns a channel that is closed when the control group has ended the incarnation,
// or by Leave. The process must then refuse new work and may open a new session.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// Current reports whether the view was confirmed at most wire.StaleAfter before now.
func (s *Session) Current(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewalTracker.viewCurrent(now)
}

// ConfirmedAt returns the latest time at which the view is known to have been current.
func (s *Session) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewalTracker.confirmedAt
}

// SetDraining sets the draining flag that renewals report, and renews at once if the flag
// changes.
func (s *Session) SetDraining(drain bool) {
	if s.draining.Swap(drain) != drain {
		s.RenewNow()
	}
}

// RenewNow requests a renewal without delay. It does not wait for the reply.
func (s *Session) RenewNow() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

// Job returns the record of a job from any control node that holds it.
func (s *Session) Job(ctx context.Context, job ids.Job) (wire.JobRecord, error) {
	var rec wire.JobRecord
	err := s.serverPool.callAny(ctx, wire.MethodJob, wire.JobQuery{Job: job}, &rec)
	return rec, err
}

// JobByKey returns the record of the job that a team submitted with the given key. It asks
// the last known leader first.
func (s *Session) JobByKey(ctx context.Context, team ids.Team, key string) (wire.JobRecord, error) {
	var rec wire.JobRecord
	err := s.serverPool.callLeader(ctx, wire.MethodJob, wire.JobQuery{Team: team, Key: key}, &rec)
	return rec, err
}

// Leave ends the incarnation at the control group and closes the session. The session is
// closed even if the call fails; the lease then expires.
func (s *Session) Leave(ctx context.Context) error {
	err := s.serverPool.callLeader(ctx, wire.MethodLeave, wire.Leave{Incarnation: s.incarnation}, nil)
	s.signalEnded()
	s.Close()
	return err
}

// Close closes the session without a message to the control group. The lease expires on
// its own.
func (s *Session) Close() {
	s.cancel()
	s.serverPool.close()
	s.goroutines.Wait()
}

// signalIfEnded reports whether a reply said that the incarnation has ended, and if so
// closes the channel that Ended returns.
func (s *Session) signalIfEnded() bool {
	s.mu.Lock()
	ended := s.renewalTracker.ended
	s.mu.Unlock()
	if ended {
		klog.Warningf("member: Incarnation %d has been ended by the control group.", s.incarnation)
		s.signalEnded()
	}
	return ended
}

// signalEnded marks the incarnation as ended. It is safe to call more than once.
func (s *Session) signalEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalTracker.ended = true
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// renewLoop sends renewals until the session is closed or the incarnation has ended.
func (s *Session) renewLoop(ctx context.Context) {
	timer := time.NewTimer(s.nextRenewalDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ended:
			return
		case <-s.renewNow:
		case <-timer.C:
		}
		s.renew(ctx)
		if s.signalIfEnded() {
			return
		}
		timer.Reset(s.nextRenewalDelay())
	}
}

func (s *Session) nextRenewalDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewalTracker.nextDelay(time.Now())
}

// renew sends one renewal and applies the reply.
func (s *Session) renew(ctx context.Context) {
	addr, timeout, req := s.nextRenewal()
	var r wire.RenewReply
	sent := time.Now()
	err := s.serverPool.call(ctx, timeout, addr, wire.MethodRenew, req, &r)
	if err != nil {
		s.recordRenewalFailure(ctx, addr, err)
		return
	}
	r.Resolve(req.Have)
	s.acceptRenewal(addr, sent, r)
}

// nextRenewal returns the address of the control node to ask, the timeout, and the request.
func (s *Session) nextRenewal() (addr string, replyTimeout time.Duration, req wire.Renew) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncControlAddrs()
	req = wire.Renew{
		Incarnation: s.incarnation, Have: s.renewalTracker.view.Version,
		Draining: s.draining.Load(), ControlGroupHash: wire.GroupHash(s.controlAddrs),
	}
	return s.controlAddrs[s.renewalTracker.serverIndex], s.renewalTracker.replyTimeout(), req
}

// recordRenewalFailure switches to another control node. Only the first failure in a row is
// logged; acceptRenewal logs when renewals succeed again.
func (s *Session) recordRenewalFailure(ctx context.Context, addr string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalTracker.recordFailure()
	if s.renewalTracker.allServersFailed() {
		s.serverPool.directory.clearGroupAddrs()
	}
	if s.renewalTracker.failures == 1 && ctx.Err() == nil {
		klog.InfoS("member: Renewal failed", "addr", addr, "incarnation", s.incarnation, "version", s.renewalTracker.view.Version,
			"confirmedAgeMs", time.Since(s.renewalTracker.confirmedAt).Milliseconds(), "err", err)
	}
}

// acceptRenewal applies a reply and signals a change of the view.
func (s *Session) acceptRenewal(addr string, sent time.Time, r wire.RenewReply) {
	s.mu.Lock()
	if s.renewalTracker.failures > 0 {
		klog.InfoS("member: Renewal succeeded after failures", "addr", addr, "incarnation", s.incarnation, "failures", s.renewalTracker.failures,
			"version", r.Version, "confirmedAgeMs", r.ConfirmedAgeMS)
	}
	if len(r.Control) > 0 {
		klog.InfoS("member: Addresses of the control nodes have changed", "nodes", r.Control)
		s.serverPool.directory.setGroupAddrs(r.Control)
	}
	changed := s.renewalTracker.acceptReply(sent, r)
	s.view.Store(s.renewalTracker.view)
	switched := s.isAgent && s.lastGoodAddr != addr
	s.lastGoodAddr = addr
	leaderNamed := r.Leader.Addr != "" && r.Leader.Term >= s.leaderTerm
	s.leaderTerm = max(s.leaderTerm, r.Leader.Term)
	s.mu.Unlock()
	if leaderNamed {
		s.serverPool.followLeader(r.Leader.Addr)
	}
	if switched {
		s.serverPool.closeOthers(addr)
	}
	if changed {
		select {
		case s.changes <- struct{}{}:
		default:
		}
	}
}

// syncControlAddrs switches to the directory's addresses if they have changed. The caller
// must hold s.mu, otherwise renewalTracker.serverIndex could refer to the wrong list.
func (s *Session) syncControlAddrs() {
	controlAddrs := s.serverPool.directory.Addrs()
	if slices.Equal(controlAddrs, s.controlAddrs) {
		return
	}
	s.renewalTracker.setServers(len(controlAddrs), slices.Index(controlAddrs, s.controlAddrs[s.renewalTracker.serverIndex]))
	s.controlAddrs = controlAddrs
}

// Admit asks the control group to record a new job. Admissions that are submitted while a
// request is in flight share the next one. Admit sets the owner to this incarnation, and
// replaces an empty nonce by a random one.
//
// Admit retries failures that another server or a new leader may resolve until ctx ends.
// Its errors have the verdict NotRun. The reason is no-quorum if ctx has ended, overloaded
// at once if too many admissions are queued, draining once the session is closed, and
// otherwise that of the final refusal. After an error the record may exist all the same,
// but nothing of the job has run. A later AdmitResult.Duplicate or an entry.bodies request
// may name this incarnation as the owner of such a record; the entry then starts the job
// under it.
func (s *Session) Admit(ctx context.Context, item wire.AdmitItem) (wire.AdmitResult, error) {
	item.Owner = s.incarnation
	if item.Nonce == "" {
		item.Nonce = NewNonce()
	}
	r, err := s.admissions.submit(ctx, item)
	if err != nil {
		v := verdict.FromError(err)
		return wire.AdmitResult{}, verdict.Refuse(v.Reason, "%s", v.Detail).After(time.Second)
	}
	return r, nil
}

// Complete records the end of a job. It retries until ctx ends and is idempotent.
func (s *Session) Complete(ctx context.Context, item wire.CompleteItem) error {
	_, err := s.completions.submit(ctx, item)
	return err
}

// sendAdmissions sends a batch of admissions to the leader and returns a result for each.
func (s *Session) sendAdmissions(ctx context.Context, items []wire.AdmitItem) ([]wire.AdmitResult, error) {
	var r wire.AdmitReply
	if err := s.serverPool.callLeader(ctx, wire.MethodAdmit, wire.Admit{Items: items}, &r); err != nil {
		return nil, err
	}
	if len(r.Results) != len(items) {
		return nil, verdict.FromError(errors.Errorf("%d results for %d admissions", len(r.Results), len(items)))
	}
	return r.Results, nil
}

// sendCompletions sends a batch of completions to the leader.
func (s *Session) sendCompletions(ctx context.Context, items []wire.CompleteItem) ([]struct{}, error) {
	if err := s.serverPool.callLeader(ctx, wire.MethodComplete, wire.Complete{Items: items}, nil); err != nil {
		return nil, err
	}
	return make([]struct{}, len(items)), nil
}
