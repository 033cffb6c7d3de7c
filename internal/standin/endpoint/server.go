package endpoint

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// Server is a running endpoint.
type Server struct {
	listener net.Listener
	history  *history
	faults   faultState
	limit    int
	name     string

	dataMu sync.RWMutex
	data   *engine

	mu          sync.Mutex
	connections map[*connection]struct{}
	next        uint32
	closed      atomic.Bool
	stop        context.CancelFunc
	done        sync.WaitGroup
}

// Option changes an endpoint under construction.
type Option func(*Server)

// WithConnectionLimit sets how many data connections the endpoint accepts.
func WithConnectionLimit(limit int) Option {
	return func(s *Server) {
		s.limit = limit
	}
}

// WithName sets the name shown to peers.
func WithName(name string) Option {
	return func(s *Server) {
		s.name = name
	}
}

// defaultConnectionLimit is far above what the proxy is told.
const defaultConnectionLimit = 1000

// NewServer starts an endpoint on an address such as 127.0.0.1:0. The
// returned function stops it.
func NewServer(address string, options ...Option) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	data, err := newEngine()
	if err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		listener:    listener,
		history:     newHistory(),
		limit:       defaultConnectionLimit,
		data:        data,
		connections: map[*connection]struct{}{},
		stop:        stop,
	}
	for _, o := range options {
		o(s)
	}
	s.done.Add(3)
	go s.accept()
	go s.applyLate(ctx)
	go s.replicate(ctx)
	return s, s.close, nil
}

// Address returns the host:port of the database protocol.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// IsPrimary reports whether the endpoint takes writes.
func (s *Server) IsPrimary() bool {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return s.history.primary
}

// Count runs a query that returns one number on the endpoint's own data.
func (s *Server) Count(query string) (int64, error) {
	s.dataMu.RLock()
	defer s.dataMu.RUnlock()
	var n int64
	err := s.data.db.QueryRow(query).Scan(&n)
	return n, errors.Wrap(err, "count")
}

func (s *Server) close() {
	s.closed.Store(true)
	s.faults.set(Faults{})
	s.stop()
	_ = s.listener.Close()
	s.closeConnections(true)
	s.done.Wait()
	_ = s.data.db.Close()
}

func (s *Server) accept() {
	defer s.done.Done()
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.faults.get().Down {
			_ = socket.Close()
			continue
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			s.serve(socket)
		}()
	}
}

// admit counts a data connection, false when the limit is reached.
func (s *Server) admit(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for other := range s.connections {
		if !other.internal() {
			open++
		}
	}
	if !c.internal() && open >= s.limit {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// closeConnections breaks the data connections, or all of them.
func (s *Server) closeConnections(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if all || !c.internal() {
			c.kill()
		}
	}
}

// evict breaks the connections of one client.
func (s *Server) evict(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.peer == name {
			c.kill()
		}
	}
}

// cancel interrupts the statement of a connection.
func (s *Server) cancel(process uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.process == process {
			c.interrupt()
		}
	}
}

// promote makes the endpoint the primary of a term that it has given to the
// proposer. Repeating it changes nothing.
func (s *Server) promote(term rosemarylb.Term, proposer string) status {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if term != h.term || proposer != h.proposer {
		return h.status(false)
	}
	if h.primary {
		return h.status(true)
	}
	s.catchUp(h.last())
	h.primary = true
	h.append(entry{
		Term:        term,
		CommittedAt: time.Now(),
	})
	h.applied = h.last()
	return h.status(true)
}

// catchUp applies entries up to one; the caller holds the history's lock.
func (s *Server) catchUp(until rosemarylb.LSN) {
	h := s.history
	for h.applied < until {
		s.dataMu.RLock()
		err := s.data.apply(h.entries[h.applied].Changes)
		s.dataMu.RUnlock()
		if err != nil {
			panic(errors.Wrap(err, "a committed entry cannot be applied"))
		}
		h.applied++
	}
}

// follow makes the endpoint a replica of a term's primary.
func (s *Server) follow(term rosemarylb.Term, upstream string) status {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.term || (term == h.term && h.primary) {
		return h.status(false)
	}
	if term > h.term {
		h.term = term
		h.proposer = ""
	}
	if h.primary {
		h.primary = false
		go s.closeConnections(false)
	}
	h.upstream = upstream
	return h.status(true)
}
