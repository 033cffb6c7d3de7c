// Package loopback chooses the addresses on which processes of a test or a demo will
// listen.
package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and portCount are the ports that are chosen. Linux gives none of them
	// to a socket that did not ask for it: its ephemeral ports begin at 32768.
	firstPort = 10_000
	portCount = 20_000
	// reuseTimeout is the maximum time for which ListenAgain waits for an address, and
	// reuseInterval the time between its attempts.
	reuseTimeout  = 2 * time.Second
	reuseInterval = 5 * time.Millisecond
)

// lastIndex is the number of ports tried so far.
var lastIndex atomic.Uint32

// Address returns a host:port for a process to listen on. It stays free until then:
// the host belongs to the calling process, and no two calls return the same port.
// Address returns an error that names the host if all ports are in use.
func Address() (string, error) {
	host := processHost(os.Getpid())
	for range portCount {
		port := firstPort + int(lastIndex.Add(1)-1)%portCount
		address := net.JoinHostPort(host, strconv.Itoa(port))
		err := probe(address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", errors.Wrap(err, "choose a loopback address")
		}
		return address, nil
	}
	return "", errors.Newf("choose a loopback address: all ports of %s from %d to %d are in use", host, firstPort,
		firstPort+portCount-1)
}

// probe listens on an address for a moment. It returns an error if the address is in
// use.
func probe(address string) error {
	// A process that was forked while the listener is open, and has not called exec
	// yet, would keep the address in use.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// ListenAgain listens on an address that this process has listened on before. A child
// process may have the former listener open until it has called exec, so ListenAgain
// tries again while the address is in use. It returns an error after reuseTimeout.
func ListenAgain(address string) (net.Listener, error) {
	deadline := time.Now().Add(reuseTimeout)
	for {
		l, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, errors.Wrap(err, "listen again")
		}
		time.Sleep(reuseInterval)
	}
}

// processHost returns the loopback host of a process, in 127.64.0.0/10. Linux numbers
// processes with 22 bits.
func processHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}
