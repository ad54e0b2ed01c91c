package capacity

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// MessageSlopes measures exchanges of several starts, each followed by a report
// of as many answers on the same connection.
func MessageSlopes() ([]Series, error) {
	reports := make(chan int, 1)
	mux := rpc.NewMux()
	mux.Ordered(wire.MethodExchange, rpc.Handle(func(ctx context.Context, c *rpc.Conn, m wire.Exchange) (wire.Empty, error) {
		r := wire.Report{Upstream: 500, Credit: slots + 1, Running: slots}
		for _, s := range m.Starts {
			r.Answers = append(r.Answers, answerTo(s))
		}
		return wire.Empty{}, c.Notify(ctx, wire.MethodReport, r)
	}))
	back := rpc.NewMux()
	back.Ordered(wire.MethodReport, rpc.Handle(func(_ context.Context, _ *rpc.Conn, r wire.Report) (wire.Empty, error) {
		reports <- len(r.Answers)
		return wire.Empty{}, nil
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := rpc.NewServer(l, rpc.Security{}, mux, nil)
	defer server.Close()
	counters := &rpc.Counters{}
	conn, err := rpc.Dial(context.Background(), server.Addr(), rpc.Security{}, back, counters)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	sent := Series{Name: "exchange", Unit: "B", Driver: "starts in a message", At: 1}
	received := Series{Name: "report", Unit: "B", Driver: "starts in a message", At: 1}
	cpu := Series{Name: "both messages, both ends", Unit: "us CPU", Driver: "starts in a message", At: 1}
	for _, n := range []int{1, 8, 32, 128} {
		rounds := max(1000/n, 100)
		in, out := counters.BytesIn.Load(), counters.BytesOut.Load()
		var failed error
		cost := cpuFor(rounds, func() { failed = exchange(conn, reports, n, rounds) })
		if failed != nil {
			return nil, failed
		}
		x := float64(n)
		cpu.Add(x, cost/1e3)
		sent.Add(x, float64(counters.BytesOut.Load()-out)/float64(rounds))
		received.Add(x, float64(counters.BytesIn.Load()-in)/float64(rounds))
	}
	return []Series{sent, received, cpu}, nil
}

func exchange(conn *rpc.Conn, reports <-chan int, starts, rounds int) error {
	m := wire.Exchange{Entry: anEntry, Demand: 100}
	t := spec()
	for i := range starts {
		m.Starts = append(m.Starts, wire.Start{
			Key: ids.TaskOf(1_000_000, i), Epoch: 1, Try: 1, Method: t.Method, Path: t.Path, Body: t.Body, BudgetMS: 30_000,
		})
	}
	for range rounds {
		if err := conn.Notify(context.Background(), wire.MethodExchange, m); err != nil {
			return err
		}
		select {
		case <-reports:
		case <-time.After(startTimeout):
			return errors.New("no report arrived")
		}
	}
	return nil
}
