package stream

import (
	"net"
	"sync"

	"rosemarylb/internal/process/budget"
)

// limitListener refuses connections that a pool does not allow.
type limitListener struct {
	net.Listener

	pool      *budget.Pool
	server    budget.Server
	onRefusal func()
}

// LimitListener returns a listener for a server that closes new connections at once
// while the pool allows no more.
func LimitListener(l net.Listener, s budget.Server, p *budget.Pool) net.Listener {
	return &limitListener{
		Listener:  l,
		pool:      p,
		server:    s,
		onRefusal: func() {},
	}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.pool.Acquire(l.server) {
			return &limitedConn{
				Conn: c,
				release: sync.OnceFunc(func() {
					l.pool.Release(l.server)
				}),
			}, nil
		}
		_ = c.Close()
		l.onRefusal()
	}
}

// limitedConn is a connection that returns to the pool when it is closed.
type limitedConn struct {
	net.Conn

	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
