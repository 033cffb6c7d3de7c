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

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and portCount are the ports that are chosen. Linux gives none of them
	// to a socket that did not ask for it: its ephemeral ports begin at 32768.
	firstPort = 10_000
	portCount = 20_000
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
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", errors.Wrap(err, "choose a loopback address")
		}
		return address, errors.Wrap(listener.Close(), "choose a loopback address")
	}
	return "", errors.Newf("choose a loopback address: all ports of %s from %d to %d are in use", host, firstPort,
		firstPort+portCount-1)
}

// processHost returns the loopback host of a process, in 127.64.0.0/10. Linux numbers
// processes with 22 bits.
func processHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}
