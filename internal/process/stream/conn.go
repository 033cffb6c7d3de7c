package stream

import (
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
}

// Account returns the account of the connection.
func (c *Conn) Account() *budget.Account {
	return c.account
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

// Write sends a payload.
func (c *Conn) Write(payload []byte) {
	_ = c.conn.AsyncWrite(payload, nil)
}

// WriteInLoop sends a payload from a method of the handler, before the connection may
// be closed.
func (c *Conn) WriteInLoop(payload []byte) {
	_, _ = c.conn.Write(payload)
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
