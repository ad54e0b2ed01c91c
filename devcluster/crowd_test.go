//go:build linux

package devcluster

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var withCrowds = flag.Bool("crowds", false, "play crowds of clients, one after the other")

const (
	crowdSize = 1500
	crowdBody = 262_144
	// crowdMemoryMb is the memory of the smallest VM that an entry runs on.
	crowdMemoryMb = 144
)

// Guards against an entry that runs on its default limits and takes more than the memory of
// the smallest VM, because of bodies that stop one byte short of their end. An ordinary
// caller is served while these connections stay.
func TestCrowdOfClientsOnDefaultLimits(t *testing.T) {
	if !*withCrowds {
		t.Skip("runs apart from other load: .ci/run, or go test ./devcluster -run TestCrowdOfClients -crowds")
	}
	s := startSystem(t)
	var mu sync.Mutex
	var conns []net.Conn
	var sent sync.WaitGroup
	header := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", crowdBody)
	body := strings.Repeat("x", crowdBody-1)
	for range crowdSize {
		sent.Go(func() {
			c, err := net.DialTimeout("tcp", s.addrs.callers[0], time.Minute)
			if err != nil {
				return // refused
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			if c.SetWriteDeadline(time.Now().Add(3*time.Second)) == nil {
				_, _ = c.Write([]byte(header + body)) // the entry may refuse it
			}
		})
	}
	sent.Wait()
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	s.awaitServed(s.addrs.callers[0])
	pid := s.entries[0].cmd.Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if err != nil || peak == nil || syscall.Kill(pid, 0) != nil {
		t.Fatalf("the entry has ended: %v", err)
	}
	if kb, _ := strconv.Atoi(string(peak[1])); kb > crowdMemoryMb<<10 {
		t.Errorf("the entry has used %d MB, more than %d MB", kb>>10, crowdMemoryMb)
	}
}

// awaitServed sends single requests until one is answered.
func (s *system) awaitServed(callers string) {
	s.t.Helper()
	client := http.Client{Timeout: callTimeout}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(pollInterval) {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/services/%s/", callers, Service), nil)
		if err != nil {
			s.t.Fatal(err)
		}
		req.Header.Set("Baobab-Team", "centro")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	s.t.Fatal("no ordinary request is answered beside the crowd")
}
