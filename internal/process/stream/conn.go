package stream

import (
	"sync/atomic"

	"rosemarylb/internal/process/budget"

	"github.com/panjf2000/gnet/v2"
)

// Conn is a connection of a Server. Its methods do not block.
type Conn struct {
	// Session is the handler's state of the connection.
	Session any

	server  *Server
	conn    gnet.Conn
	account *budget.Account
	release func()
	// used is true once the peer has sent a request. It belongs to the event loop.
	used bool
	// queued is the number of bytes that the event loop has not taken yet, buffered
	// the number that it had not sent when it last looked.
	queued   atomic.Int64
	buffered atomic.Int64
}

// Account returns the account of the connection.
func (c *Conn) Account() *budget.Account {
	return c.account
}

// RemoteAddress returns the host:port of the peer.
func (c *Conn) RemoteAddress() string {
	return c.conn.RemoteAddr().String()
}

// Greeted reports that the peer has opened a session, so that the connection may be
// idle from now on.
func (c *Conn) Greeted() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if state, unused := c.server.unused[c]; unused {
		state.greeted = true
		c.server.unused[c] = state
	}
}

// Used reports that the peer has sent a request. Connections without one are closed
// first when there are too many.
func (c *Conn) Used() {
	if c.used {
		return
	}
	c.used = true
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.unused, c)
}

// Write sends a payload. It drops the payload if the connection is to be closed
// because its peer does not read.
func (c *Conn) Write(payload []byte) {
	size := int64(len(payload))
	c.queued.Add(size)
	if !c.count() {
		c.queued.Add(-size)
		return
	}
	_ = c.conn.AsyncWrite(payload, func(conn gnet.Conn, err error) error {
		c.queued.Add(-size)
		return c.measure(conn, err)
	})
}

// WriteInLoop sends a payload from a method of the handler, before the connection may
// be closed.
func (c *Conn) WriteInLoop(payload []byte) {
	_, err := c.conn.Write(payload)
	_ = c.measure(c.conn, err)
}

// WriteAndClose sends a payload and closes the connection after it.
func (c *Conn) WriteAndClose(payload []byte) {
	_ = c.conn.AsyncWrite(payload, func(conn gnet.Conn, _ error) error {
		return conn.Close()
	})
}

// Close closes the connection after what was written before is sent, as far as the
// socket takes it at once.
func (c *Conn) Close() {
	c.WriteAndClose(nil)
}

// count updates the account. It returns false if the connection is to be closed.
func (c *Conn) count() bool {
	return c.account.Set(budget.KindOutput, c.queued.Load()+c.buffered.Load())
}

// measure updates the account on the event loop.
func (c *Conn) measure(conn gnet.Conn, err error) error {
	if err != nil {
		return nil
	}
	buffered := int64(conn.OutboundBuffered())
	before := c.buffered.Swap(buffered)
	if (before > 0) != (buffered > 0) {
		c.server.setUnread(c, buffered > 0)
	}
	c.count()
	return nil
}

// setUnread records whether the peer has to read before more can be sent. It runs on the
// event loop of an open connection.
func (s *Server) setUnread(c *Conn, unread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if unread {
		s.unread[c] = struct{}{}
		return
	}
	delete(s.unread, c)
}
