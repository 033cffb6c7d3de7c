// Package stream runs the connections of a front end on event loops. It limits the
// number of connections, and counts the bytes that wait to be sent in a budget.
package stream

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
)

const (
	// readBufferBytes is the size of one read from a socket. Between two turns of an
	// event loop, each connection can add this much to what is held.
	readBufferBytes = 16 << 10
	// measureInterval is the time between two measurements of the bytes that a slow
	// reader has not taken.
	measureInterval = 20 * time.Millisecond
	// idleInterval is the time between two ticks while all peers read.
	idleInterval = 250 * time.Millisecond
	// greetingTimeout is the time that a connection has until its greeting, by which
	// an idle connection differs from a session. It is longer than the time-outs of
	// client libraries for a connection.
	greetingTimeout = 30 * time.Second
	// acceptRetryDelay is the pause after a failed accept, such as one for lack of
	// descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

var (
	closedByGreeting = metrics.NewCounter(`rosemarylb_connections_closed_total{reason="no-greeting"}`)
	closedForRoom    = metrics.NewCounter(`rosemarylb_connections_closed_total{reason="unused"}`)
)

// Handler processes the events of connections. Its methods run on an event loop.
type Handler interface {
	// Open reports a new connection.
	Open(c *Conn)
	// Receive handles input, which is valid during the call only. It returns false
	// if the connection must be closed after what was written to it is sent.
	Receive(c *Conn, data []byte) bool
	// Closed reports that a connection is closed.
	Closed(c *Conn)
}

// Server accepts connections and runs their event loops.
type Server struct {
	gnet.BuiltinEventEngine

	handler  Handler
	budget   *budget.Budget
	listener net.Listener
	client   *gnet.Client

	mu     sync.Mutex // guards the fields below
	unread map[*Conn]struct{}
	// unused are the connections that have sent no request.
	unused map[*Conn]unusedState
}

// unusedState is the state of a connection that has sent no request.
type unusedState struct {
	openedAt time.Time
	// greeted is true once the peer has opened a session.
	greeted bool
}

// Listen accepts connections of a server at an address, a host:port, as the pool
// allows, and runs them on the given number of event loops. What it holds for them
// counts in the budget. The returned function stops the loops and closes all
// connections.
func Listen(address string, server budget.Server, loops int, p *budget.Pool, b *budget.Budget, h Handler) (func(), error) {
	s := &Server{
		handler: h,
		budget:  b,
		unread:  map[*Conn]struct{}{},
		unused:  map[*Conn]unusedState{},
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s.listener = &limitListener{
		Listener:  listener,
		pool:      p,
		server:    server,
		onRefusal: s.closeUnused,
	}
	s.client, err = gnet.NewClient(s,
		gnet.WithNumEventLoop(loops),
		gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTicker(true),
		gnet.WithLogger(duty.DiscardLogger{}))
	if err == nil {
		err = s.client.Start()
	}
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrapf(err, "start the event loops of %s", address)
	}
	wait := duty.Spawn(s.accept)
	return func() {
		_ = s.listener.Close()
		wait()
		_ = s.client.Stop()
	}, nil
}

// accept passes connections to the event loops until the listener is closed.
func (s *Server) accept() {
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.enroll(accepted)
	}
}

// enroll passes a connection to an event loop, which uses a duplicate of its
// descriptor.
func (s *Server) enroll(accepted net.Conn) {
	limited, ok := accepted.(*limitedConn)
	if !ok {
		_ = accepted.Close()
		return
	}
	c := &Conn{
		server:  s,
		release: limited.release,
	}
	if _, err := s.client.EnrollContext(limited.Conn, c); err != nil {
		limited.release()
	}
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	c, ok := conn.Context().(*Conn)
	if !ok {
		return nil, gnet.Close
	}
	c.conn = conn
	c.account = s.budget.Open(func() {
		_ = conn.Close()
	})
	s.mu.Lock()
	s.unused[c] = unusedState{
		openedAt: time.Now(),
	}
	s.mu.Unlock()
	s.handler.Open(c)
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	c, ok := conn.Context().(*Conn)
	if !ok || c.account == nil {
		return gnet.None
	}
	s.mu.Lock()
	delete(s.unread, c)
	delete(s.unused, c)
	s.mu.Unlock()
	s.handler.Closed(c)
	c.account.Close()
	c.release()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	c, ok := conn.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	data, err := conn.Next(-1)
	if err != nil || !s.handler.Receive(c, data) {
		return gnet.Close
	}
	return gnet.None
}

// OnTick implements gnet.EventHandler. It measures what slow readers have not taken,
// and closes connections without a greeting.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	s.mu.Lock()
	unread := slices.Collect(maps.Keys(s.unread))
	var silent []*Conn
	for c, state := range s.unused {
		if !state.greeted && now.After(state.openedAt.Add(greetingTimeout)) {
			silent = append(silent, c)
			delete(s.unused, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unread {
		_ = c.conn.AsyncWrite(nil, c.measure)
	}
	for _, c := range silent {
		closedByGreeting.Inc()
		_ = c.conn.Close()
	}
	if len(unread) == 0 {
		return idleInterval, gnet.None
	}
	return measureInterval, gnet.None
}

// closeUnused closes the oldest connection that has sent no request, to make room for
// the next caller after one was refused.
func (s *Server) closeUnused() {
	s.mu.Lock()
	var oldest *Conn
	for c, state := range s.unused {
		if oldest == nil || state.openedAt.Before(s.unused[oldest].openedAt) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(s.unused, oldest)
	}
	s.mu.Unlock()
	if oldest != nil {
		closedForRoom.Inc()
		_ = oldest.conn.Close()
	}
}
