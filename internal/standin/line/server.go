package line

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// slotCount is how many statements one endpoint runs at a time, and queueCount
// how many more wait there before it refuses.
const (
	slotCount  = 2
	queueCount = 14
)

// listenAddress draws a loopback address that neither outgoing connections nor
// other endpoints are likely to have, so that none of them takes the port of an
// endpoint that starts again.
func listenAddress() string {
	return fmt.Sprintf("127.0.%d.%d:0", 2+rand.IntN(250), 2+rand.IntN(250))
}

// ServerFaults are what goes wrong at an endpoint, each with a probability.
type ServerFaults struct {
	// LoseAnswer breaks the connection after a statement ran.
	LoseAnswer float64
	// Fail answers a read with an error after it ran.
	Fail float64
}

// Server is one endpoint.
type Server struct {
	group    *Group
	id       string
	address  string
	listener net.Listener
	primary  bool
	stopped  bool
	paused   bool
	deaf     bool
	actsTo   time.Time
	term     int
	behind   int
	log      []*Commit
	conns    map[net.Conn]struct{}
	slots    chan struct{}
	faults   ServerFaults
}

// Start runs an endpoint of a group on a loopback address. Its first endpoint
// leads.
func Start(g *Group, id string) (*Server, error) {
	s := &Server{
		group:   g,
		id:      id,
		address: listenAddress(),
		term:    1,
		conns:   map[net.Conn]struct{}{},
		slots:   make(chan struct{}, slotCount),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.primary = len(g.servers) == 0
	if s.primary {
		g.leader = s
	}
	g.servers[id] = s
	return s, nil
}

func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener = l
	s.address = l.Addr().String()
	go s.accept(l)
	return nil
}

// Address returns where the endpoint listens.
func (s *Server) Address() string {
	return s.address
}

// ID returns the endpoint's name.
func (s *Server) ID() string {
	return s.id
}

// SetBehind has a replica lack the last commits of the log.
func (s *Server) SetBehind(commits int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.behind = commits
}

// SetDeaf has a replica receive nothing, or receive again.
func (s *Server) SetDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = deaf
}

// SetFaults changes what goes wrong.
func (s *Server) SetFaults(f ServerFaults) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.faults = f
}

// Leads reports whether the endpoint takes itself for the primary.
func (s *Server) Leads() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advance(time.Now())
	return s.primary && !s.stopped
}

// Stop ends the endpoint and breaks its connections. Its log stays.
func (s *Server) Stop() {
	s.group.mu.Lock()
	s.group.advance(time.Now())
	s.stopped = true
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.group.mu.Unlock()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

// Restart runs an endpoint again that was stopped, with its log: as the primary
// if no other was promoted.
func (s *Server) Restart() error {
	if err := s.listen(); err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advance(time.Now())
	s.stopped = false
	s.paused = false
	s.primary = s.group.leader == s
	return nil
}

// receive copies what the group's primary has committed long enough ago; the
// group is locked.
func (s *Server) receive(now time.Time) {
	leader := s.group.leader
	if leader == nil || leader == s || leader.stopped || s.paused || s.deaf {
		return
	}
	n := 0
	for n < len(s.log) && n < len(leader.log) && s.log[n] == leader.log[n] {
		n++
	}
	if n < len(s.log) || s.term != s.group.term {
		s.log = slices.Clone(s.log[:n])
		s.term = s.group.term
	}
	for n < len(leader.log) && !leader.log[n].At.Add(s.group.lag).After(now) {
		s.log = append(s.log, leader.log[n])
		n++
	}
}

// holds reports whether the log has a position; the group is locked.
func (s *Server) holds(term, number int) bool {
	if term > s.term || number > s.applied() {
		return false
	}
	for t := term + 1; t <= s.term; t++ {
		if start, known := s.group.starts[t]; known && number > start {
			return false
		}
	}
	return true
}

// applied is how many commits the endpoint shows; the group is locked.
func (s *Server) applied() int {
	if s.primary {
		return len(s.log)
	}
	return max(len(s.log)-s.behind, 0)
}

// value returns what the log says of an item; the group is locked.
func (s *Server) value(item string) string {
	for i := s.applied() - 1; i >= 0; i-- {
		if v, found := s.log[i].writes[item]; found {
			return v
		}
	}
	return ""
}

func (s *Server) status() string {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return strings.Join([]string{
		role, strconv.Itoa(s.term), position(s.term, len(s.log)), "0",
		strconv.FormatInt(s.group.lag.Milliseconds(), 10), strconv.Itoa(len(s.slots)), strconv.Itoa(len(s.conns)),
	}, " ")
}

// happens draws whether a fault of some probability strikes.
func happens(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}
