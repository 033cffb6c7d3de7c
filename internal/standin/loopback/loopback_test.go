package loopback

import (
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// socketCount is the number of sockets of each kind that take ports of the system's
// range between the choice of the addresses and their use.
const socketCount = 2000

// An address was a port of the system's range that had been free a moment ago. Other
// sockets took it before the process that it was meant for listened on it.
func TestAddressStaysFreeUntilItIsUsed(t *testing.T) {
	var addresses []string
	for range 500 {
		address, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	host, _, _ := net.SplitHostPort(addresses[0])
	var sockets []io.Closer
	defer func() {
		for _, s := range sockets {
			_ = s.Close()
		}
	}()
	for range socketCount {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, l)
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, c)
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("got %v, want to listen on %s", err, address)
			continue
		}
		sockets = append(sockets, l)
	}
}

func TestAddressInUseIsNotReturned(t *testing.T) {
	first, err := Address()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", first)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = l.Close()
	}()
	lastIndex.Add(^uint32(0))
	if got, err := Address(); err != nil || got == first {
		t.Errorf("got %s, %v, want another address than %s, which is in use", got, err, first)
	}
}

func TestProcessesHaveTheirOwnHosts(t *testing.T) {
	hosts := map[string]int{}
	for _, pid := range []int{1, 2, 255, 256, 257, 65_535, 65_536, 65_537, 131_072, 4_194_303} {
		host := processHost(pid)
		if other, found := hosts[host]; found || net.ParseIP(host) == nil || !strings.HasPrefix(host, "127.") {
			t.Errorf("got host %s of process %d, want a loopback host that process %d does not have", host, pid, other)
		}
		hosts[host] = pid
	}
}

// TestAddressIsFreeWhileProcessesStart guards against addresses that a child process
// still has open between its fork and its exec.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var stopped atomic.Bool
	var children sync.WaitGroup
	for range 4 {
		children.Go(func() {
			for !stopped.Load() {
				_ = exec.Command(program, "-test.run", "^$").Run()
			}
		})
	}
	defer children.Wait()
	defer stopped.Store(true)
	for range 2000 {
		address, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("got %v for a chosen address, want it free", err)
		}
		_ = l.Close()
		if l, err = ListenAgain(address); err != nil {
			t.Fatalf("got %v for an address that was closed, want it free", err)
		}
		_ = l.Close()
	}
}
