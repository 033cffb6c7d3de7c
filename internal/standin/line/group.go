// Package line is a stand-in of the users' replicated databases: endpoints that
// speak their line protocol, with roles, terms and a log each.
package line

import (
	"strconv"
	"sync"
	"time"
)

// Commit is one entry of a log. Its fields are set once, RolledBack apart.
type Commit struct {
	// Number is its place in the log, from 1.
	Number int
	// Term is the term that it was written in.
	Term int
	// IDs are the queries that wrote it, the last one committed it.
	IDs []string
	// At is when it was written.
	At time.Time
	// Superseded is true when another endpoint led already.
	Superseded bool
	// RolledBack is set once a promotion has dropped it.
	RolledBack bool

	writes map[string]string
}

// Group is one replicated database.
type Group struct {
	mu       sync.Mutex
	name     string
	term     int
	starts   map[int]int
	leader   *Server
	servers  map[string]*Server
	orders   []order
	lag      time.Duration
	delay    time.Duration
	linger   time.Duration
	work     time.Duration
	capacity int
	numbered bool
	serial   int
	runs     []Run
	commits  []*Commit
}

// order is a promotion that takes effect later.
type order struct {
	server *Server
	at     time.Time
}

// GroupOption changes a group under construction.
type GroupOption func(*Group)

// WithLag has replicas receive commits that much later.
func WithLag(d time.Duration) GroupOption {
	return func(g *Group) {
		g.lag = d
	}
}

// WithPromotion has promotions take effect after a delay; the old primary goes
// on for a while after that.
func WithPromotion(delay, linger time.Duration) GroupOption {
	return func(g *Group) {
		g.delay = delay
		g.linger = linger
	}
}

// WithWork has each statement occupy a slot for a while.
func WithWork(d time.Duration) GroupOption {
	return func(g *Group) {
		g.work = d
	}
}

// WithCapacity bounds the connections to each endpoint.
func WithCapacity(connections int) GroupOption {
	return func(g *Group) {
		g.capacity = connections
	}
}

// WithNumberedSignatures gives each answer a signature of its own.
func WithNumberedSignatures() GroupOption {
	return func(g *Group) {
		g.numbered = true
	}
}

// NewGroup returns a group without endpoints.
func NewGroup(name string, options ...GroupOption) *Group {
	g := &Group{
		name:    name,
		term:    1,
		starts:  map[int]int{},
		servers: map[string]*Server{},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Promote makes an endpoint the primary of the next term, after the delay of
// the group. It returns false when the endpoint does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.advance(now)
	s, found := g.servers[id]
	if !found || s.stopped {
		return false
	}
	if s == g.leader && s.primary {
		return true
	}
	g.orders = append(g.orders, order{
		server: s,
		at:     now.Add(g.delay),
	})
	g.advance(now)
	return true
}

// advance brings the group to a time: promotions, replication, the end of old
// primaries. The group is locked.
func (g *Group) advance(now time.Time) {
	for len(g.orders) > 0 && !now.Before(g.orders[0].at) {
		o := g.orders[0]
		g.orders = g.orders[1:]
		if !o.server.stopped && (o.server != g.leader || !o.server.primary) {
			g.lead(o.server, now)
		}
	}
	for _, s := range g.servers {
		if s != g.leader && s.primary && !now.Before(s.actsTo) {
			s.primary = false
		}
		if s != g.leader && !s.primary && !s.stopped {
			s.receive(now)
		}
	}
}

// lead makes an endpoint the primary of the next term, with the log that it
// has; commits that it lacks are lost.
func (g *Group) lead(s *Server, now time.Time) {
	s.receive(now)
	g.term++
	g.starts[g.term] = len(s.log)
	if old := g.leader; old != nil && old != s {
		old.actsTo = now.Add(g.linger)
		if g.linger == 0 {
			old.primary = false
		}
	}
	g.leader = s
	s.primary = true
	s.paused = false
	s.term = g.term
	kept := map[*Commit]bool{}
	for _, c := range s.log {
		kept[c] = true
	}
	for _, c := range g.commits {
		c.RolledBack = c.RolledBack || !kept[c]
	}
}

// append adds a commit to an endpoint's log.
func (g *Group) append(s *Server, writes map[string]string, ids []string, now time.Time) {
	c := &Commit{
		Number:     len(s.log) + 1,
		Term:       s.term,
		IDs:        ids,
		At:         now,
		Superseded: s != g.leader,
		RolledBack: s != g.leader,
		writes:     writes,
	}
	s.log = append(s.log, c)
	g.commits = append(g.commits, c)
	if g.lag == 0 {
		g.advance(now)
	}
}

// Commits returns how many commits the group's primary holds.
func (g *Group) Commits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(time.Now())
	if g.leader == nil {
		return 0
	}
	return len(g.leader.log)
}

// History returns all commits ever written, those that were lost too.
func (g *Group) History() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Commit
	for _, c := range g.commits {
		all = append(all, *c)
	}
	return all
}

// Runs returns the statements of callers that ran, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[:len(g.runs):len(g.runs)]
}

// Leader returns the name of the endpoint that leads, and its term.
func (g *Group) Leader() (id string, term int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(time.Now())
	if g.leader == nil {
		return "", 0
	}
	return g.leader.id, g.term
}

func position(term, number int) string {
	return strconv.Itoa(term) + "." + strconv.Itoa(number)
}
