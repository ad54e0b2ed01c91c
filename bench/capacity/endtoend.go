package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// taskMS is the run time of a task at the sample upstream. It is short, so that
// few upstreams take many starts.
const taskMS = 20

// system is a control node, an entry and one agent in processes of their own,
// and further agents and the sample upstream in this one.
type system struct {
	control, entry, agent *process
	upstream              *upstreamsim.Server
	agents                []*agent.Agent
	client                *fasthttp.Client
}

func startSystem(dir string) (*system, error) {
	s := &system{client: &fasthttp.Client{MaxConnsPerHost: 1024, ReadTimeout: startTimeout, MaxIdemponentCallAttempts: 1}}
	var err error
	if s.upstream, err = upstreamsim.Start(upstreamsim.Options{}); err != nil {
		return nil, err
	}
	if s.control, err = startProcess("control", roleConfig{Node: "control-1", Data: filepath.Join(dir, "control")}); err != nil {
		return s, err
	}
	client, err := member.NewClient(member.ClientOptions{Servers: []string{s.control.Addr}})
	if err != nil {
		return s, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if _, err := client.Apply(ctx, wire.Apply{Expect: wire.AnyVersion, Pairs: configuration(designTeams, 1)}); err != nil {
		return s, err
	}
	c := roleConfig{Node: "agent-1", Control: []string{s.control.Addr}, Upstream: s.upstream.Addr()}
	if s.agent, err = startProcess("agent", c); err != nil {
		return s, err
	}
	c.Node = "entry-1"
	s.entry, err = startProcess("entry", c)
	return s, err
}

func (s *system) stop() {
	for _, p := range []*process{s.entry, s.agent, s.control} {
		if p != nil {
			p.stop()
		}
	}
	for _, a := range s.agents {
		a.Close()
	}
	s.upstream.Close()
}

// grow starts agents until there are n, and waits until the entry uses all.
func (s *system) grow(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for len(s.agents)+1 < n {
		c := roleConfig{Node: fmt.Sprintf("agent-%d", len(s.agents)+2), Control: []string{s.control.Addr}, Upstream: s.upstream.Addr()}
		a, err := openAgent(ctx, c, nil, nil)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	time.Sleep(2 * wire.RenewInterval) // the entry learns of them within one renewal
	return nil
}

// IdleSlopes measures daemons without work.
func IdleSlopes() ([]Series, error) {
	return scratch(func(dir string) ([]Series, error) {
		s, err := startSystem(dir)
		if s != nil {
			defer s.stop()
		}
		if err != nil {
			return nil, err
		}
		const driver = "agents"
		entry, agent := newPerSecond("entry", driver, designAgents), newPerSecond("one agent", driver, designAgents)
		for _, n := range []int{11, 50, 100, 160} {
			if err := s.grow(n); err != nil {
				return nil, err
			}
			var ofAgent rate
			ofEntry, err := s.entry.watch(func() { ofAgent, _ = s.agent.watch(pass) })
			if err != nil {
				return nil, err
			}
			entry.add(float64(n), ofEntry)
			agent.add(float64(n), ofAgent)
		}
		return append(entry.list(), agent.list()...), nil
	})
}

// EntrySlopes measures jobs through an entry, with the entry and one agent in
// processes of their own.
func EntrySlopes() ([]Series, error) {
	return scratch(func(dir string) ([]Series, error) {
		s, err := startSystem(dir)
		if s != nil {
			defer s.stop()
		}
		if err != nil {
			return nil, err
		}
		out, err := s.loads("agents, 100 tasks in a job", []int{4, 8, 16, 32}, func(n int) (int, error) { return 100, s.grow(n) })
		if err != nil {
			return nil, err
		}
		more, err := s.loads("tasks in a job, 32 agents", []int{1, 10, 100, 850}, func(n int) (int, error) { return n, nil })
		return append(out, more...), err
	})
}

// loads measures closed loops of jobs that keep all slots in use.
func (s *system) loads(driver string, points []int, set func(int) (tasks int, err error)) ([]Series, error) {
	series := func(name, unit string) Series { return Series{Name: name, Unit: unit, Driver: driver, Level: true} }
	speed, entry := series("starts", "1/s"), series("entry, each start", "us CPU")
	bytes, messages := series("entry, each start", "B in and out"), series("entry, each start", "messages")
	agent, rss := series("agent, each start", "us CPU"), series("entry, resident", "B")
	for _, n := range points {
		tasks, err := set(n)
		if err != nil {
			return nil, err
		}
		var starts, own int
		var ofAgent rate
		ofEntry, err := s.entry.watch(func() {
			ofAgent, err = s.agent.watch(func() { starts, err = s.drive(tasks) })
		})
		if err != nil || starts == 0 {
			return nil, errors.Errorf("%d starts with %d %s: %v", starts, n, driver, err)
		}
		x, all := float64(n), float64(starts)/ofEntry.seconds
		own = starts / (len(s.agents) + 1)
		speed.Add(x, all)
		entry.Add(x, ofEntry.cpu/all)
		bytes.Add(x, (ofEntry.in+ofEntry.out)/all)
		messages.Add(x, ofEntry.messages/all)
		agent.Add(x, ofAgent.cpu*ofAgent.seconds/float64(own))
		rss.Add(x, ofEntry.resident)
	}
	return []Series{speed, entry, bytes, messages, agent, rss}, nil
}

// drive submits jobs for a window, with twice as many tasks open as there are
// slots, and returns the number of tasks of the jobs that completed.
func (s *system) drive(tasks int) (int, error) {
	body := jobBody(tasks)
	callers := max(2*slots*(len(s.agents)+1)/tasks, 2)
	until := time.Now().Add(window)
	var done atomic.Int64
	var failed atomic.Value
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Now().Before(until) {
				if err := s.submit(body); err != nil {
					failed.Store(err.Error())
					return
				}
				done.Add(int64(tasks))
			}
		})
	}
	wg.Wait()
	if e := failed.Load(); e != nil {
		return 0, errors.Errorf("job: %v", e)
	}
	return int(done.Load()), nil
}

func jobBody(tasks int) []byte {
	task := map[string]any{"path": "/cobro/linea", "body": map[string]any{"run_ms": taskMS, "echo": fmt.Sprintf("%0160d", 1)}}
	list := make([]any, tasks)
	for i := range list {
		list[i] = task
	}
	body, err := json.Marshal(map[string]any{
		"team": "team-07", "service": "svc-1", "tasks": list, "run_time_ms": taskMS, "deadline_ms": startTimeout.Milliseconds(),
	})
	if err != nil {
		panic(err) // texts and numbers can always be written
	}
	return body
}

func (s *system) submit(body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + s.entry.Addr + "/v1/jobs?wait=15s")
	req.SetBody(body)
	if err := s.client.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d: %.200s", resp.StatusCode(), resp.Body())
	}
	return nil
}
