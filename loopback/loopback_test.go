package loopback

import (
	"net"
	"testing"
)

// Guards against two listeners of tests that are given one port: with the port closed again
// before its use, the kernel gave it out a second time in 3 of 8 runs of CI.
func TestReservedAddressIsNotTaken(t *testing.T) {
	addr := FreeAddr(t)
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{addr: true}
	for range 2000 {
		other := FreeAddr(t)
		if seen[other] {
			t.Fatalf("%s was given out twice", other)
		}
		seen[other] = true
	}
	// Another process, or another test with an address of the kernel, takes the same port.
	foreign, err := net.Listen("tcp", "127.0.0.1:"+port)
	if err == nil {
		defer foreign.Close()
	}
	for range 2 { // the start, and a restart
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if near := c.LocalAddr().(*net.TCPAddr).IP.String(); near != "127.0.0.1" {
			t.Errorf("the near end of a connection is on %s, where it takes ports of listeners", near)
		}
		c.Close()
		l.Close()
	}
}

// Guards against two processes with one address.
func TestProcessesHaveTheirOwnAddresses(t *testing.T) {
	seen := map[string]int{}
	for pid := 1; pid < 1<<22; pid += 61 {
		ip := processIP(pid)
		if other, ok := seen[ip]; ok || net.ParseIP(ip) == nil || !net.ParseIP(ip).IsLoopback() {
			t.Fatalf("process %d has %s, as %d", pid, ip, other)
		}
		seen[ip] = pid
	}
}
