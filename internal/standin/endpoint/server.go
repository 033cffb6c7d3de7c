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

// Server is a simulated database server.
type Server struct {
	listener        net.Listener
	log             *transactionLog
	faults          faultState
	connectionLimit int
	name            string

	engineMu sync.RWMutex
	engine   *engine

	mu            sync.Mutex
	connections   map[*connection]struct{}
	lastProcessID uint32
	isClosed      atomic.Bool
	stop          context.CancelFunc
	goroutines    sync.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// WithConnectionLimit sets the maximum number of client connections. Those of
// replicas and of the proxy's control channel do not count.
func WithConnectionLimit(limit int) Option {
	return func(s *Server) {
		s.connectionLimit = limit
	}
}

// WithName sets the name that the endpoint connects to its upstream with.
func WithName(name string) Option {
	return func(s *Server) {
		s.name = name
	}
}

// defaultConnectionLimit exceeds the connection limits in the proxy's
// configuration, so that the endpoint does not reject the proxy's connections.
const defaultConnectionLimit = 1000

// NewServer starts an endpoint that listens on a host:port; port 0 selects a
// free one. The returned function stops the endpoint.
func NewServer(address string, options ...Option) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	database, err := newEngine()
	if err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		listener:        listener,
		log:             newTransactionLog(),
		connectionLimit: defaultConnectionLimit,
		engine:          database,
		connections:     map[*connection]struct{}{},
		stop:            stop,
	}
	for _, o := range options {
		o(s)
	}
	s.goroutines.Add(3)
	go s.acceptConnections()
	go s.applyDelayed(ctx)
	go s.replicate(ctx)
	return s, s.close, nil
}

// Address returns the host:port that serves the PostgreSQL protocol.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// IsPrimary reports whether the endpoint accepts writes.
func (s *Server) IsPrimary() bool {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.log.isPrimary
}

// QueryCount returns the number that a query selects from the endpoint's own copy of
// the data, bypassing the protocol and the faults.
func (s *Server) QueryCount(query string) (int64, error) {
	s.engineMu.RLock()
	defer s.engineMu.RUnlock()
	var number int64
	err := s.engine.db.QueryRow(query).Scan(&number)
	return number, errors.Wrap(err, "count")
}

func (s *Server) close() {
	s.isClosed.Store(true)
	s.faults.set(Faults{})
	s.stop()
	_ = s.listener.Close()
	s.closeConnections(true)
	s.goroutines.Wait()
	_ = s.engine.db.Close()
}

// acceptConnections serves connections until the listener closes.
func (s *Server) acceptConnections() {
	defer s.goroutines.Done()
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.faults.get().Down {
			_ = socket.Close()
			continue
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.serveConnection(socket)
		}()
	}
}

// admitConnection registers a connection. It returns false when the connection
// limit is reached.
func (s *Server) admitConnection(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	clientCount := 0
	for other := range s.connections {
		if !other.isInternal() {
			clientCount++
		}
	}
	if !c.isInternal() && clientCount >= s.connectionLimit {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// closeConnections closes the client connections and, with includeInternal, those
// of replicas and of the proxy's control channel.
func (s *Server) closeConnections(includeInternal bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if includeInternal || !c.isInternal() {
			c.close()
		}
	}
}

// closeConnectionsOf closes the connections with an application name.
func (s *Server) closeConnectionsOf(applicationName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.applicationName == applicationName {
			c.close()
		}
	}
}

// cancelStatement cancels the running statement of a connection.
func (s *Server) cancelStatement(processID uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.processID == processID {
			c.cancelStatement()
		}
	}
}

// promote makes the endpoint the primary of a term that it has granted to the
// proposer. Repeating the call has no effect.
func (s *Server) promote(term rosemarylb.Term, proposer string) controlStatus {
	l := s.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term || proposer != l.proposer {
		return l.status(false)
	}
	if l.isPrimary {
		return l.status(true)
	}
	s.applyUntil(l.lastLSN())
	l.isPrimary = true
	l.append(logEntry{
		Term:        term,
		CommittedAt: time.Now(),
	})
	l.appliedLSN = l.lastLSN()
	return l.status(true)
}

// applyUntil applies the log entries up to and including an LSN. The caller
// holds the lock of the log.
func (s *Server) applyUntil(until rosemarylb.LSN) {
	l := s.log
	for l.appliedLSN < until {
		s.engineMu.RLock()
		err := s.engine.apply(l.entries[l.appliedLSN].Changes)
		s.engineMu.RUnlock()
		if err != nil {
			panic(errors.Wrap(err, "apply committed log entry"))
		}
		l.appliedLSN++
	}
}

// follow makes the endpoint a replica of the primary of a term. A demoted
// primary closes its client connections.
func (s *Server) follow(term rosemarylb.Term, upstream string) controlStatus {
	l := s.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term || (term == l.term && l.isPrimary) {
		return l.status(false)
	}
	if term > l.term {
		l.term = term
		l.proposer = ""
	}
	if l.isPrimary {
		l.isPrimary = false
		go s.closeConnections(false)
	}
	l.upstream = upstream
	return l.status(true)
}
