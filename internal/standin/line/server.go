package line

import (
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarylb/internal/standin/loopback"
)

// slotLimit is the number of statements that an endpoint runs at a time,
// queueLimit the number that wait before further ones are rejected as BUSY.
const (
	slotLimit  = 2
	queueLimit = 14
)

// ServerFaults holds the probability of each fault of an endpoint, from 0 to 1.
type ServerFaults struct {
	// LoseResponse closes the connection after a statement ran, without a response.
	LoseResponse float64
	// FailRead returns an error for a read after it ran.
	FailRead float64
}

// Server is an endpoint of a group.
type Server struct {
	group         *Group
	id            string
	address       string
	listener      net.Listener
	isPrimary     bool
	isStopped     bool
	isPaused      bool
	isCutOff      bool
	primaryUntil  time.Time
	term          int
	hiddenCommits int
	lag           time.Duration
	log           []*Commit
	connections   map[net.Conn]struct{}
	slots         chan struct{}
	faults        ServerFaults
}

// StartServer starts an endpoint of a group on a loopback address. The first endpoint
// of a group is its primary.
func StartServer(g *Group, id string) (*Server, error) {
	address, err := loopback.Address()
	if err != nil {
		return nil, err
	}
	s := &Server{
		group:       g,
		id:          id,
		address:     address,
		term:        1,
		connections: map[net.Conn]struct{}{},
		slots:       make(chan struct{}, slotLimit),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.isPrimary = len(g.servers) == 0
	if s.isPrimary {
		g.leader = s
	}
	g.servers[id] = s
	return s, nil
}

func (s *Server) listen() error {
	listener, err := loopback.ListenAgain(s.address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.address = listener.Addr().String()
	go s.accept(listener)
	return nil
}

// Address returns the host:port on which the endpoint listens.
func (s *Server) Address() string {
	return s.address
}

// ID returns the name of the endpoint within its group.
func (s *Server) ID() string {
	return s.id
}

// SetHiddenCommits hides the given number of latest commits while the endpoint is a
// replica.
func (s *Server) SetHiddenCommits(commits int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.hiddenCommits = commits
}

// SetReplicationCut stops or resumes replication to the endpoint.
func (s *Server) SetReplicationCut(cutOff bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.isCutOff = cutOff
}

// SetFaults replaces the faults of the endpoint.
func (s *Server) SetFaults(f ServerFaults) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.faults = f
}

// IsPrimary reports whether the endpoint runs and acts as primary, also after another
// one has been promoted.
func (s *Server) IsPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advanceTo(time.Now())
	return s.isPrimary && !s.isStopped
}

// Stop stops the endpoint and closes its connections. The log is kept.
func (s *Server) Stop() {
	s.group.mu.Lock()
	s.group.advanceTo(time.Now())
	s.isStopped = true
	connections := s.connections
	s.connections = map[net.Conn]struct{}{}
	s.group.mu.Unlock()
	_ = s.listener.Close()
	for c := range connections {
		_ = c.Close()
	}
}

// Restart starts a stopped endpoint with its log, as primary unless another
// endpoint has been promoted.
func (s *Server) Restart() error {
	if err := s.listen(); err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advanceTo(time.Now())
	s.isStopped = false
	s.isPaused = false
	s.isPrimary = s.group.leader == s
	return nil
}

// replicate copies the commits of the current primary that are older than the
// replication lag, and drops those that the primary lacks. The caller holds the
// lock of the group.
func (s *Server) replicate(now time.Time) {
	leader := s.group.leader
	if leader == nil || leader == s || leader.isStopped || s.isPaused || s.isCutOff {
		return
	}
	common := 0
	for common < len(s.log) && common < len(leader.log) && s.log[common] == leader.log[common] {
		common++
	}
	if common < len(s.log) || s.term != s.group.term {
		s.log = slices.Clone(s.log[:common])
		s.term = s.group.term
	}
	for common < len(leader.log) && !leader.log[common].WrittenAt.Add(s.group.replicationLag+s.lag).After(now) {
		s.log = append(s.log, leader.log[common])
		common++
	}
}

// hasPosition reports whether the applied log contains a position: a number beyond
// the start of a later term may have been rolled back. The caller holds the lock
// of the group.
func (s *Server) hasPosition(term, number int) bool {
	if term > s.term || number > s.appliedCount() {
		return false
	}
	for t := term + 1; t <= s.term; t++ {
		if start, known := s.group.termStarts[t]; known && number > start {
			return false
		}
	}
	return true
}

// appliedCount returns the number of commits visible to reads. The caller holds
// the lock of the group.
func (s *Server) appliedCount() int {
	if s.isPrimary {
		return len(s.log)
	}
	return max(len(s.log)-s.hiddenCommits, 0)
}

// lookup returns the latest applied value of an item, empty if it was never
// written. The caller holds the lock of the group.
func (s *Server) lookup(item string) string {
	for i := s.appliedCount() - 1; i >= 0; i-- {
		if value, found := s.log[i].writes[item]; found {
			return value
		}
	}
	return ""
}

// formatStatus returns the row that answers STATUS. The caller holds the lock of
// the group.
func (s *Server) formatStatus() string {
	role := "replica"
	if s.isPrimary {
		role = "primary"
	}
	return strings.Join([]string{
		role, strconv.Itoa(s.term), formatPosition(s.term, len(s.log)), "0",
		strconv.FormatInt(s.group.replicationLag.Milliseconds(), 10),
		strconv.Itoa(len(s.slots)), strconv.Itoa(len(s.connections)),
	}, " ")
}

// faultOccurs returns true with the given probability.
func faultOccurs(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}
