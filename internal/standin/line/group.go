// Package line is a stand-in for the users' replicated databases: endpoints that
// serve the line protocol, each with a role, a term and a log.
package line

import (
	"strconv"
	"sync"
	"time"
)

// Commit is an entry of a log. Only RolledBack changes after it is written.
type Commit struct {
	// Number is the index in the log, from 1.
	Number int
	// Term is the term of the endpoint that wrote it.
	Term int
	// IDs are the queries of the transaction; the last one committed it.
	IDs []string
	// WrittenAt is the time of the write.
	WrittenAt time.Time
	// Superseded is true if another endpoint had been promoted before the write.
	Superseded bool
	// RolledBack is true if it was superseded or a later promotion dropped it.
	RolledBack bool

	writes map[string]string
}

// Group is a replicated database. Its lock guards its endpoints as well.
type Group struct {
	mu                    sync.Mutex
	name                  string
	term                  int
	termStarts            map[int]int
	leader                *Server
	servers               map[string]*Server
	pendingPromotions     []pendingPromotion
	replicationLag        time.Duration
	promotionDelay        time.Duration
	demotionDelay         time.Duration
	statementTime         time.Duration
	connectionLimit       int
	hasNumberedSignatures bool
	isSynchronous         bool
	lastNumber            int
	executions            []Execution
	commits               []*Commit
}

// pendingPromotion is a promotion that has been accepted and takes effect later.
type pendingPromotion struct {
	server      *Server
	effectiveAt time.Time
}

// GroupOption changes a group under construction.
type GroupOption func(*Group)

// WithLag sets the replication delay of the replicas.
func WithLag(lag time.Duration) GroupOption {
	return func(g *Group) {
		g.replicationLag = lag
	}
}

// WithPromotionDelay delays the effect of promotions. The previous primary accepts
// writes until demotionDelay after it can reach the promoted endpoint.
func WithPromotionDelay(delay, demotionDelay time.Duration) GroupOption {
	return func(g *Group) {
		g.promotionDelay = delay
		g.demotionDelay = demotionDelay
	}
}

// WithStatementTime sets how long each statement occupies a slot.
func WithStatementTime(statementTime time.Duration) GroupOption {
	return func(g *Group) {
		g.statementTime = statementTime
	}
}

// WithConnectionLimit limits the number of connections to each endpoint.
func WithConnectionLimit(connections int) GroupOption {
	return func(g *Group) {
		g.connectionLimit = connections
	}
}

// WithNumberedSignatures gives each response a unique signature.
func WithNumberedSignatures() GroupOption {
	return func(g *Group) {
		g.hasNumberedSignatures = true
	}
}

// NewGroup returns a group without endpoints.
func NewGroup(name string, options ...GroupOption) *Group {
	g := &Group{
		name:       name,
		term:       1,
		termStarts: map[int]int{},
		servers:    map[string]*Server{},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Promote makes an endpoint the primary of the next term after the promotion
// delay of the group. It returns false if the endpoint is unknown or stopped.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.advanceTo(now)
	s, found := g.servers[id]
	if !found || s.isStopped {
		return false
	}
	if s == g.leader && s.isPrimary {
		return true
	}
	g.pendingPromotions = append(g.pendingPromotions, pendingPromotion{
		server:      s,
		effectiveAt: now.Add(g.promotionDelay),
	})
	g.advanceTo(now)
	return true
}

// advanceTo applies what is due by a time: pending promotions, the demotion of
// previous primaries and replication. The caller holds the lock of the group.
func (g *Group) advanceTo(now time.Time) {
	for len(g.pendingPromotions) > 0 && !now.Before(g.pendingPromotions[0].effectiveAt) {
		promotion := g.pendingPromotions[0]
		g.pendingPromotions = g.pendingPromotions[1:]
		if !promotion.server.isStopped && (promotion.server != g.leader || !promotion.server.isPrimary) {
			g.makePrimary(promotion.server, now)
		}
	}
	for _, s := range g.servers {
		if s != g.leader && s.isPrimary && (s.isCutOff || g.leader.isStopped) {
			s.primaryUntil = now.Add(g.demotionDelay)
		}
		if s != g.leader && s.isPrimary && !now.Before(s.primaryUntil) {
			s.isPrimary = false
		}
		if s != g.leader && !s.isPrimary && !s.isStopped {
			s.replicate(now)
		}
	}
}

// makePrimary makes an endpoint the primary of the next term. Commits that its
// log lacks are rolled back.
func (g *Group) makePrimary(s *Server, now time.Time) {
	s.replicate(now)
	g.term++
	g.termStarts[g.term] = len(s.log)
	if previous := g.leader; previous != nil && previous != s {
		previous.primaryUntil = now.Add(g.demotionDelay)
		if g.demotionDelay == 0 {
			previous.isPrimary = false
		}
	}
	g.leader = s
	s.isPrimary = true
	s.isPaused = false
	s.term = g.term
	kept := map[*Commit]bool{}
	for _, c := range s.log {
		kept[c] = true
	}
	for _, c := range g.commits {
		c.RolledBack = c.RolledBack || !kept[c]
	}
}

// appendCommit adds a commit to the log of an endpoint and returns it. Without lag the
// replicas receive it at once.
func (g *Group) appendCommit(s *Server, writes map[string]string, ids []string, now time.Time) *Commit {
	c := &Commit{
		Number:     len(s.log) + 1,
		Term:       s.term,
		IDs:        ids,
		WrittenAt:  now,
		Superseded: s != g.leader,
		RolledBack: s != g.leader,
		writes:     writes,
	}
	s.log = append(s.log, c)
	g.commits = append(g.commits, c)
	if g.replicationLag == 0 {
		g.advanceTo(now)
	}
	return c
}

// CommitCount returns the number of commits in the log of the current primary.
func (g *Group) CommitCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceTo(time.Now())
	if g.leader == nil {
		return 0
	}
	return len(g.leader.log)
}

// History returns all commits in the order in which they were written, those
// rolled back included.
func (g *Group) History() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Commit
	for _, c := range g.commits {
		all = append(all, *c)
	}
	return all
}

// Executions returns the statements of callers in the order in which they ran.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.executions[:len(g.executions):len(g.executions)]
}

// Leader returns the name of the endpoint that leads the latest term, and that
// term. Both are zero values for a group without endpoints.
func (g *Group) Leader() (id string, term int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceTo(time.Now())
	if g.leader == nil {
		return "", 0
	}
	return g.leader.id, g.term
}

// formatPosition returns a position as the line protocol writes it: term.number.
func formatPosition(term, number int) string {
	return strconv.Itoa(term) + "." + strconv.Itoa(number)
}
