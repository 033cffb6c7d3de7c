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

// LinkFaults is what is wrong with a link.
type LinkFaults struct {
	// Delay has bytes arrive that much later, both ways.
	Delay time.Duration
	// HoldThere and HoldBack hold bytes on their way to the target and back:
	// one of them is a cut in one direction, both are silence. Held bytes arrive
	// once the link is well, unless their sender has reset the connection.
	HoldThere, HoldBack bool
	// Refuse resets new connections.
	Refuse bool
}

// Link is a loopback proxy of TCP connections to one address.
type Link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	faults LinkFaults
	well   chan struct{}
	conns  map[*net.TCPConn]struct{}
}

// NewLink starts a link. The returned function ends it and its connections.
func NewLink(target string) (*Link, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	k := &Link{
		listener: l,
		target:   target,
		well:     make(chan struct{}),
		conns:    map[*net.TCPConn]struct{}{},
	}
	duty.Spawn(k.accept)
	return k, func() {
		_ = l.Close()
		k.SetFaults(LinkFaults{})
		k.Reset()
	}, nil
}

// Address returns where the link listens.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// SetFaults changes what is wrong.
func (l *Link) SetFaults(h LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = h
	close(l.well)
	l.well = make(chan struct{})
}

// Reset breaks all connections.
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

func (l *Link) serve(near *net.TCPConn) {
	l.mu.Lock()
	refuse, target := l.faults.Refuse, l.target
	l.mu.Unlock()
	if refuse {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := c.(*net.TCPConn)
	l.mu.Lock()
	l.conns[near] = struct{}{}
	l.conns[far] = struct{}{}
	l.mu.Unlock()
	waitBack := duty.Spawn(func() {
		l.pump(far, near, func(h LinkFaults) bool { return h.HoldBack })
	})
	l.pump(near, far, func(h LinkFaults) bool { return h.HoldThere })
	waitBack()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
}

// packet is what was read at once; an error ends the way.
type packet struct {
	bytes []byte
	at    time.Time
	err   error
}

// pump carries bytes one way until it ends, then ends the other side alike.
func (l *Link) pump(from, to *net.TCPConn, held func(LinkFaults) bool) {
	packets := make(chan packet, 256)
	reset := make(chan struct{})
	duty.Spawn(func() {
		read(from, packets, reset)
	})
	for p := range packets {
		if !l.await(held, reset) {
			break
		}
		if p.err != nil {
			_ = to.CloseWrite()
			return
		}
		l.mu.Lock()
		delay := l.faults.Delay
		l.mu.Unlock()
		time.Sleep(time.Until(p.at.Add(delay)))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	for _, c := range []*net.TCPConn{from, to} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func read(from *net.TCPConn, packets chan<- packet, reset chan<- struct{}) {
	defer close(packets)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			packets <- packet{
				bytes: buffer[:n],
				at:    time.Now(),
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			packets <- packet{
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

// await waits while bytes are held, false once the sender has reset.
func (l *Link) await(held func(LinkFaults) bool, reset <-chan struct{}) bool {
	for {
		l.mu.Lock()
		wait, well := held(l.faults), l.well
		l.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-well:
		case <-reset:
			return false
		}
	}
}
