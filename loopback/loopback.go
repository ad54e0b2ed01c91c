// Package loopback gives the listeners of tests addresses that nothing else takes.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// reserved holds the addresses that FreeAddr has returned in this process.
var reserved struct {
	sync.Mutex
	addrs map[string]bool
}

// FreeAddr returns a TCP address that no process listens on. It stays free until the caller
// listens on it, and while the caller restarts its listener: no other call returns it, and
// its IP address belongs to this process. On 127.0.0.1 any process can get the port
// meanwhile, for a listener or for the near end of a connection.
func FreeAddr(t testing.TB) string {
	t.Helper()
	reserved.Lock()
	defer reserved.Unlock()
	for {
		l, err := net.Listen("tcp", processIP(os.Getpid())+":0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if reserved.addrs[addr] {
			continue
		}
		if reserved.addrs == nil {
			reserved.addrs = map[string]bool{}
		}
		reserved.addrs[addr] = true
		return addr
	}
}

// processIP returns a loopback address for each process id, which on Linux has at most 22
// bits. The near end of a connection to it has another one, 127.0.0.1.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}
