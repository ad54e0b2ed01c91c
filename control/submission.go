package control

import (
	"bytes"
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// submissionTimeout limits the work on a submitted configuration. It is long enough
	// for the largest one on a VM with a part of a core.
	submissionTimeout = 10 * time.Second
	// maxSubmissions limits the configurations on which a node works at the same time.
	maxSubmissions = 8
)

// SourceDecoder returns the configuration of an operator's text. An error means that the
// text is no valid configuration.
type SourceDecoder func(source []byte) (wire.Apply, error)

// submission is a configuration on which this node works. The result is set once done
// is closed.
type submission struct {
	source []byte
	done   chan struct{}
	reply  wire.ApplyReply
	err    error
}

// submissions holds the configurations on which this node works.
type submissions struct {
	mu   sync.Mutex
	list []*submission
}

// SubmitConfiguration decodes an operator's text and puts it in force as ApplyRevision
// does. The work goes on after ctx ends, and a repetition of the text joins it, so that
// a configuration which takes longer than the operator waits is not started anew each
// time. A text that can't be decoded is refused in ApplyReply.Err.
func (n *Node) SubmitConfiguration(ctx context.Context, source []byte, decode SourceDecoder) (wire.ApplyReply, error) {
	held, err := n.heldConfig(ctx)
	if err != nil {
		return wire.ApplyReply{}, err
	}
	if held.source.Revision > 0 && bytes.Equal(held.source.Text, source) {
		return held.reply, nil
	}
	s, err := n.joinSubmission(source, decode)
	if err != nil {
		return wire.ApplyReply{}, err
	}
	select {
	case <-s.done:
		return s.reply, s.err
	case <-ctx.Done():
		return wire.ApplyReply{}, verdict.Unknown(verdict.NoQuorum, "the configuration is not in force yet").After(time.Second)
	}
}

// joinSubmission returns the submission of a text, which it starts if there is none.
func (n *Node) joinSubmission(source []byte, decode SourceDecoder) (*submission, error) {
	n.submissions.mu.Lock()
	defer n.submissions.mu.Unlock()
	if n.ctx.Err() != nil {
		return nil, verdict.Refuse(verdict.Draining, "the node stops")
	}
	for _, s := range n.submissions.list {
		if bytes.Equal(s.source, source) {
			return s, nil
		}
	}
	if len(n.submissions.list) >= maxSubmissions {
		return nil, verdict.Refuse(verdict.Overloaded, "%d configurations are under way", maxSubmissions).After(time.Second)
	}
	s := &submission{source: source, done: make(chan struct{})}
	n.submissions.list = append(n.submissions.list, s)
	n.wg.Go(func() { n.runSubmission(s, decode) })
	return s, nil
}

func (n *Node) runSubmission(s *submission, decode SourceDecoder) {
	begin := time.Now()
	s.reply, s.err = n.applySource(s.source, decode)
	outcome := []any{"bytes", len(s.source), "ms", time.Since(begin).Milliseconds()}
	switch {
	case s.err != nil:
		klog.InfoS("control: Submitted configuration not confirmed", append(outcome, "err", s.err)...)
	case s.reply.Err != nil:
		klog.InfoS("control: Submitted configuration refused", append(outcome, "err", s.reply.Err)...)
	default:
		klog.InfoS("control: Submitted configuration confirmed", append(outcome, "revision", s.reply.Revision, "index", s.reply.Index)...)
	}
	n.submissions.remove(s)
	close(s.done)
}

func (n *Node) applySource(source []byte, decode SourceDecoder) (wire.ApplyReply, error) {
	a, err := decode(source)
	if err != nil {
		return wire.ApplyReply{Err: verdict.Refuse(verdict.BadRequest, "%v", err)}, nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, submissionTimeout)
	defer cancel()
	return n.ApplyRevision(ctx, a)
}

// awaitStop waits until no more submission can begin. It is called once the node stops.
func (l *submissions) awaitStop() {
	l.mu.Lock()
	defer l.mu.Unlock()
}

func (l *submissions) remove(s *submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.list {
		if other == s {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}
