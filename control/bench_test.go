package control

import (
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wal"
	"github.com/baobabshore/baobabshore/wire"
)

// slowFS delays each sync by syncTime, as long as the disks of the deployments take.
type slowFS struct{ wal.FS }

type slowFile struct{ wal.File }

const syncTime = 5 * time.Millisecond

func (f slowFS) OpenAppend(name string) (wal.File, error) {
	file, err := f.FS.OpenAppend(name)
	return slowFile{file}, err
}

func (f slowFile) Sync() error {
	time.Sleep(syncTime)
	return f.File.Sync()
}

func benchNode(b *testing.B) *Node {
	n, err := Start(Options{Node: "c0", Listen: "127.0.0.1:0", Data: b.TempDir(), FS: slowFS{wal.OSFS{}}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { n.Close() })
	return n
}

func benchEntry(b *testing.B, n *Node) *member.Session {
	self := wire.Registration{Kind: wire.KindEntry, Node: "entry-01", Addr: "10.21.0.17:7400", Weight: 1}
	s, err := member.Open(b.Context(), member.Options{Directory: member.NewDirectory(n.Addr()), Self: self})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

// BenchmarkRenewal measures the bytes of a renewal without changes and of its reply,
// and the round-trip time.
func BenchmarkRenewal(b *testing.B) {
	n := benchNode(b)
	s := benchEntry(b, n)
	counters := &rpc.Counters{}
	conn, err := rpc.Dial(b.Context(), n.Addr(), rpc.Security{}, nil, counters)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	req := wire.Renew{Incarnation: s.Incarnation(), Have: 1_000_000}
	calls := 0
	for b.Loop() {
		var r wire.RenewReply
		if err := conn.Call(b.Context(), wire.MethodRenew, req, &r); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(counters.BytesOut.Load())/float64(calls), "B/renewal")
	b.ReportMetric(float64(counters.BytesIn.Load())/float64(calls), "B/reply")
}

// BenchmarkQuietGroup measures the bytes per second of each of three control nodes
// that serve 13 members, the size of today's deployments, without any jobs, and the
// CPU time of all nodes and members together.
func BenchmarkQuietGroup(b *testing.B) {
	nodes := benchGroup(b)
	var servers []string
	for _, n := range nodes {
		servers = append(servers, n.Addr())
	}
	for i := range 13 {
		self := wire.Registration{Kind: wire.KindAgent, Node: ids.Node(fmt.Sprint("a", i)), Addr: "10.21.0.17:7400", Service: "mostrador"}
		s, err := member.Open(b.Context(), member.Options{Directory: member.NewDirectory(servers...), Self: self})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Close)
	}
	before, cpu := traffic(nodes), cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(traffic(nodes)-before)/float64(len(nodes))/float64(b.N), "B/s-each-way-per-node")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/float64(b.N), "%core-all")
}

// traffic returns the mean of the bytes sent and received by the servers and peer
// links of all nodes.
func traffic(nodes []*Node) int64 {
	sum := int64(0)
	for _, n := range nodes {
		sum += n.Counters().BytesIn.Load() + n.Counters().BytesOut.Load()
	}
	return sum / 2
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAdmit measures the jobs admitted and completed per second at one node
// whose sync takes syncTime, with one caller and with 500 concurrent ones.
func BenchmarkAdmit(b *testing.B) {
	for _, callers := range []int{1, 500} {
		b.Run(fmt.Sprint("callers-", callers), func(b *testing.B) {
			n := benchNode(b)
			s := benchEntry(b, n)
			var wg sync.WaitGroup
			work := make(chan int)
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for range work {
						r, err := s.Admit(b.Context(), wire.AdmitItem{Team: "t", Service: "s", Tasks: 120, BodyHash: "h"})
						if err != nil || r.Err != nil {
							b.Errorf("%v %v", err, r.Err)
						}
						end := wire.CompleteItem{Ownership: *r.Admitted, State: wire.JobComplete}
						if err := s.Complete(b.Context(), end); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}

// benchGroup starts a group of three control nodes.
func benchGroup(b *testing.B) []*Node {
	var peers []Peer
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		peers = append(peers, Peer{Node: ids.Node(fmt.Sprint("c", i)), Addr: l.Addr().String()})
		l.Close()
	}
	var nodes []*Node
	for _, p := range peers {
		n, err := Start(Options{Node: p.Node, Listen: p.Addr, Peers: peers, Data: b.TempDir()})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { n.Close() })
		nodes = append(nodes, n)
	}
	return nodes
}

// BenchmarkConfigurationChange measures a change of 10 queues: the time until it is
// acknowledged, the bytes between the three nodes and the processor time of all, and the
// memory in use at the end for each node.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, queues := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint("queues-", queues), func(b *testing.B) {
			nodes := benchGroup(b)
			apply := func(revision int) {
				a := configOf(uint64(revision+1), 10*revision, queues)
				b.StartTimer()
				r, err := nodes[revision%len(nodes)].ApplyRevision(b.Context(), a)
				b.StopTimer()
				if err != nil || r.Err != nil {
					b.Fatalf("%+v, %v", r, err)
				}
			}
			apply(0)
			b.ResetTimer()
			b.StopTimer()
			before, cpu := traffic(nodes), cpuTime(b)
			for i := range b.N {
				apply(i + 1)
			}
			b.ReportMetric(float64((traffic(nodes)-before)*int64(len(nodes)))/float64(b.N), "B/change")
			b.ReportMetric(1000*(cpuTime(b)-cpu).Seconds()/float64(b.N), "cpu-ms/change")
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/float64(len(nodes))/(1<<20), "MB/node")
		})
	}
}
