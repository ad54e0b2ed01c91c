package agent

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxQueuedReports bounds the reports that wait for a slow entry. When it is
	// exceeded, the connection is closed; the entry connects again and asks for the
	// answers.
	maxQueuedReports = 256
	// maxAnswerBytes bounds the size of the answers in one message. It leaves room
	// within wire.MaxMessageBytes for the base64 encoding and the headers.
	maxAnswerBytes = 6 << 20
	// answerOverheadBytes is an upper estimate of the size of an answer in JSON
	// without its body.
	answerOverheadBytes = 1 << 10
)

// peer is the connection of an entry with the reports to be sent on it.
type peer struct {
	conn        *rpc.Conn
	entry       ids.Incarnation
	incarnation *incarnation
	reports     chan wire.Report
}

func newPeer(c *rpc.Conn, entry ids.Incarnation, inc *incarnation) *peer {
	p := &peer{conn: c, entry: entry, incarnation: inc, reports: make(chan wire.Report, maxQueuedReports)}
	go p.writeReports()
	return p
}

// send queues a report without blocking. It closes the connection if the queue is full.
func (p *peer) send(r wire.Report) {
	for _, part := range splitReport(r) {
		select {
		case p.reports <- part:
		default:
			klog.Warningf("agent: Entry %d reads its reports too slowly; closing its connection.", p.entry)
			p.conn.Close()
			return
		}
	}
}

func (p *peer) writeReports() {
	for {
		select {
		case <-p.conn.Done():
			return
		case r := <-p.reports:
			r.Received = p.conn.Received()
			if p.conn.Notify(context.Background(), wire.MethodReport, r) != nil {
				p.conn.Close()
				return
			}
		}
	}
}

// splitReport divides r into reports whose answers take at most maxAnswerBytes each.
func splitReport(r wire.Report) []wire.Report {
	var parts []wire.Report
	answers, size, from := r.Answers, 0, 0
	for i, a := range answers {
		n := len(a.Body) + answerOverheadBytes
		if i > from && size+n > maxAnswerBytes {
			parts = append(parts, reportWithAnswers(r, answers[from:i]))
			from, size = i, 0
		}
		size += n
	}
	last := r
	last.Answers = answers[from:]
	return append(parts, last)
}

func reportWithAnswers(r wire.Report, answers []wire.Answer) wire.Report {
	r.Answers, r.Started = answers, nil
	return r
}
