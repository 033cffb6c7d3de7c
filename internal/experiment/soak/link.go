package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/process/duty"
)

// LinkFaults are the faults of a link.
type LinkFaults struct {
	// Delay is added to the latency in both directions.
	Delay time.Duration
	// HoldToTarget and HoldFromTarget hold bytes back in one direction; both
	// together are a partition. Held bytes are delivered once the fault is
	// cleared, unless their sender has reset the connection.
	HoldToTarget, HoldFromTarget bool
	// Refuse resets new connections.
	Refuse bool
}

// Link is a TCP proxy on the loopback interface that forwards connections to one
// address and injects faults.
type Link struct {
	listener net.Listener

	mu            sync.Mutex
	target        string
	faults        LinkFaults
	faultsChanged chan struct{}
	conns         map[*net.TCPConn]struct{}
}

// NewLink starts a link to a target. The returned function stops it and resets its
// connections.
func NewLink(target string) (*Link, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	k := &Link{
		listener:      l,
		target:        target,
		faultsChanged: make(chan struct{}),
		conns:         map[*net.TCPConn]struct{}{},
	}
	duty.Spawn(k.accept)
	return k, func() {
		_ = l.Close()
		k.SetFaults(LinkFaults{})
		k.Reset()
	}, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// SetFaults replaces the faults of the link.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	l.conns = map[*net.TCPConn]struct{}{}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		duty.Spawn(func() {
			l.serve(c.(*net.TCPConn))
		})
	}
}

func (l *Link) serve(client *net.TCPConn) {
	l.mu.Lock()
	refuse, target := l.faults.Refuse, l.target
	l.mu.Unlock()
	if refuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := c.(*net.TCPConn)
	l.mu.Lock()
	l.conns[client] = struct{}{}
	l.conns[server] = struct{}{}
	l.mu.Unlock()
	waitFromTarget := duty.Spawn(func() {
		l.forward(server, client, func(f LinkFaults) bool { return f.HoldFromTarget })
	})
	l.forward(client, server, func(f LinkFaults) bool { return f.HoldToTarget })
	waitFromTarget()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// chunk is the result of one read; err is set on the last one.
type chunk struct {
	data       []byte
	receivedAt time.Time
	err        error
}

// forward copies bytes in one direction until the sender closes or resets its
// side, then closes or resets the receiver's side likewise.
func (l *Link) forward(from, to *net.TCPConn, isHeld func(LinkFaults) bool) {
	chunks := make(chan chunk, 256)
	reset := make(chan struct{})
	duty.Spawn(func() {
		readChunks(from, chunks, reset)
	})
	for c := range chunks {
		if !l.awaitRelease(isHeld, reset) {
			break
		}
		if c.err != nil {
			_ = to.CloseWrite()
			return
		}
		l.mu.Lock()
		delay := l.faults.Delay
		l.mu.Unlock()
		time.Sleep(time.Until(c.receivedAt.Add(delay)))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	for _, conn := range []*net.TCPConn{from, to} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// readChunks reads into a channel until the connection ends. It closes reset if
// the sender has reset the connection.
func readChunks(from *net.TCPConn, chunks chan<- chunk, reset chan<- struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{
				data:       buffer[:n],
				receivedAt: time.Now(),
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			chunks <- chunk{
				err: err,
			}
			return
		}
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) {
			close(reset)
		}
		return
	}
}

// awaitRelease waits while bytes are held. It returns false if the sender resets
// the connection.
func (l *Link) awaitRelease(isHeld func(LinkFaults) bool, reset <-chan struct{}) bool {
	for {
		l.mu.Lock()
		held, changed := isHeld(l.faults), l.faultsChanged
		l.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-reset:
			return false
		}
	}
}
