package capacity

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/baobabshore/baobabshore/rpc"
)

// Usage is what a process has used so far.
type Usage struct {
	At  time.Time     `json:"at"`
	CPU time.Duration `json:"cpu"` // user and system time
	// Collected is CPU after the collections that give Heap, from which the next
	// window counts.
	Collected time.Duration `json:"collected"`
	Heap      int64         `json:"heap"` // live bytes after a collection
	Resident  int64         `json:"rss"`  // bytes
	BytesIn   int64         `json:"in"`   // at the codec
	BytesOut  int64         `json:"out"`
	Messages  int64         `json:"msg"` // in and out
}

// measure returns the usage of this process.
func measure(counters *rpc.Counters) Usage {
	u := Usage{At: time.Now(), CPU: processTime()}
	if counters != nil {
		u.BytesIn, u.BytesOut = counters.BytesIn.Load(), counters.BytesOut.Load()
		u.Messages = counters.MessagesIn.Load() + counters.MessagesOut.Load()
	}
	u.Resident = resident()
	u.Heap = liveHeap()
	u.Collected = processTime()
	return u
}

// processTime returns the user and system time of this process.
func processTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // the first one leaves what finalizers and pools still hold
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// resident returns the resident bytes of this process from /proc.
func resident() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// grown returns the live heap that build adds, and keeps what it built until then.
func grown(build func() any) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return float64(after - before)
}

// cpuFor returns the processor time of this process in f, in nanoseconds for
// each of n operations. It first collects what earlier steps left.
func cpuFor(n int, f func()) float64 {
	runtime.GC()
	from := processTime()
	f()
	return float64(processTime()-from) / float64(n)
}
