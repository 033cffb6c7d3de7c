//go:build review

package harness3

import (
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// linkSegmentBytes is the largest segment on the link of a client, as on Ethernet.
	linkSegmentBytes = 1400
	// linkWindowBytes is the receive buffer of the link.
	linkWindowBytes = 32 << 10
)

// startLink forwards connections to a target. What the target sends passes at a rate in
// bits a second, like a link of that capacity.
func startLink(r *run, target string, rate int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.onCleanUp(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forwardLink(c.(*net.TCPConn), target, rate)
		}
	}()
	return l.Addr().String(), nil
}

func forwardLink(client *net.TCPConn, target string, rate int) {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{
		Timeout: time.Second,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegmentBytes)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindowBytes)
			})
		},
	}
	conn, err := dialer.Dial("tcp", target)
	if err != nil {
		return
	}
	server := conn.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.CloseWrite()
	}()
	buffer := make([]byte, linkSegmentBytes)
	freeAt := time.Now()
	for {
		n, err := server.Read(buffer)
		if n > 0 {
			if now := time.Now(); freeAt.Before(now) {
				freeAt = now
			}
			freeAt = freeAt.Add(time.Duration(n) * 8 * time.Second / time.Duration(rate))
			time.Sleep(time.Until(freeAt))
			if _, err := client.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
