package agent

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// reportQueue bounds the reports that wait for a slow entry. Beyond it the
	// connection is closed; the entry connects again and asks for the answers.
	reportQueue = 256
	// reportBytes is the size of the answers in one message. Base64 and headers
	// fit into wire.MaxMessageBytes beside it.
	reportBytes = 6 << 20
	// answerOverhead is an upper estimate of the JSON of an answer without body.
	answerOverhead = 1 << 10
)

// peer is an entry's connection.
type peer struct {
	conn  *rpc.Conn
	entry ids.Incarnation
	life  *life
	out   chan wire.Report
}

func newPeer(c *rpc.Conn, entry ids.Incarnation, l *life) *peer {
	p := &peer{conn: c, entry: entry, life: l, out: make(chan wire.Report, reportQueue)}
	go p.write()
	return p
}

// send queues a report without blocking.
func (p *peer) send(r wire.Report) {
	for _, part := range splitReport(r) {
		select {
		case p.out <- part:
		default:
			klog.Warningf("agent: Entry %d reads too slowly; its connection is closed.", p.entry)
			p.conn.Close()
			return
		}
	}
}

func (p *peer) write() {
	for {
		select {
		case <-p.conn.Done():
			return
		case r := <-p.out:
			if p.conn.Notify(context.Background(), wire.MethodReport, r) != nil {
				p.conn.Close()
				return
			}
		}
	}
}

// splitReport divides the answers of r so that each message stays within bounds.
func splitReport(r wire.Report) []wire.Report {
	var parts []wire.Report
	answers, size, from := r.Answers, 0, 0
	for i, a := range answers {
		n := len(a.Body) + answerOverhead
		if i > from && size+n > reportBytes {
			parts = append(parts, partOf(r, answers[from:i]))
			from, size = i, 0
		}
		size += n
	}
	last := r
	last.Answers = answers[from:]
	return append(parts, last)
}

func partOf(r wire.Report, answers []wire.Answer) wire.Report {
	r.Answers, r.Started = answers, nil
	return r
}
