package intake

import (
	"math"
	"os"
	"regexp"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// budgetShare is the share of a process's memory that its peers can fill. The rest is
	// for the process itself, its tables and its garbage.
	budgetShare = 0.5
	// heapShare is the share of the memory from which the garbage collector runs as often
	// as it takes to stay below.
	heapShare = 0.8
	// minConnections is the number of connections that each listener takes at least.
	minConnections = 16
	// defaultMemory is the memory of a process that runs on its default settings.
	defaultMemory = 144 << 20
	// fileDescriptors are kept for files and for the process's own connections.
	fileDescriptors = 200
)

// Process holds what the listeners of a process share.
type Process struct {
	Budget  *Budget
	Sockets int // that the process can have open
}

// NewProcess returns the budget of a process with the given memory in bytes.
func NewProcess(memory int64, sockets int) Process {
	return Process{Budget: NewBudget(int64(budgetShare * float64(memory))), Sockets: sockets}
}

// UnlimitedProcess returns the limits of a process that is bounded by other means.
func UnlimitedProcess() Process { return Process{Budget: Unlimited(), Sockets: math.MaxInt32} }

// ThisProcess bounds the heap of the calling process and returns its budget. memory is
// the setting of the process in bytes. If it is zero, GOMEMLIMIT applies, and otherwise half
// of the machine's memory, but not more than 144 MiB.
func ThisProcess(memory int64) Process {
	limited := debug.SetMemoryLimit(-1) // reads the limit
	switch {
	case memory > 0:
	case limited != math.MaxInt64:
		memory = limited
	default:
		memory = min(machineMemory()/2, defaultMemory)
	}
	if limited == math.MaxInt64 {
		LimitHeap(memory)
	}
	return NewProcess(memory, descriptorLimit()-fileDescriptors)
}

// LimitHeap makes the garbage collector keep the process within its memory. It doesn't
// bound what the process holds; the budget does.
func LimitHeap(memory int64) { debug.SetMemoryLimit(int64(heapShare * float64(memory))) }

var memTotal = regexp.MustCompile(`MemTotal:\s+(\d+) kB`)

// machineMemory returns the memory of the machine in bytes, or a large value if it is
// unknown.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	match := memTotal.FindSubmatch(text)
	if err != nil || match == nil {
		return math.MaxInt64
	}
	kb, err := strconv.ParseInt(string(match[1]), 10, 64)
	if err != nil {
		return math.MaxInt64
	}
	return kb << 10
}

// descriptorLimit returns how many descriptors the process can have open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Share is the part of a process's limits that one listener can take.
type Share struct {
	Sockets float64
	Kept    float64 // of the budget, taken by no other listener
	Limit   float64 // of the budget
	// Bytes and Connections are further limits; zero means none.
	Bytes       int64
	Connections int
	BodyBytes   int
	ReadTimeout time.Duration
}

// Gate returns the gate of a listener.
func (p Process) Gate(s Share, scope tally.Scope) *Gate {
	limit := int64(s.Limit * float64(p.Budget.Bytes()))
	if s.Bytes > 0 {
		limit = min(limit, s.Bytes)
	}
	account := p.Budget.NewAccount(int64(s.Kept*float64(p.Budget.Bytes())), limit)
	connections := max(min(int(s.Sockets*float64(p.Sockets)), account.Connections()), minConnections)
	if s.Connections > 0 {
		connections = min(connections, s.Connections)
	}
	return NewGate(Limits{Connections: connections, BodyBytes: s.BodyBytes, ReadTimeout: s.ReadTimeout}, account, scope)
}
