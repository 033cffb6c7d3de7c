// Package line is a stand-in of the users' replicated databases: endpoints that
// speak their line protocol, with roles, terms and a log.
package line

import (
	"strconv"
	"sync"
)

// Group is one replicated database: a log that its endpoints share up to where
// each has applied it.
type Group struct {
	mu      sync.Mutex
	name    string
	term    int
	log     []entry
	servers map[string]*Server
}

// entry is one commit.
type entry struct {
	term   int
	writes map[string]string
}

// NewGroup returns a group without endpoints.
func NewGroup(name string) *Group {
	return &Group{
		name:    name,
		term:    1,
		servers: map[string]*Server{},
	}
}

// Promote makes an endpoint the primary of the next term. It returns false
// when the endpoint does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, found := g.servers[id]
	if !found || s.stopped {
		return false
	}
	if s.primary {
		return true
	}
	g.term++
	for _, o := range g.servers {
		o.primary = false
		o.term = g.term
	}
	s.primary = true
	return true
}

// Commits returns how many commits the group holds.
func (g *Group) Commits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.log)
}

// value returns what the first commits of the log say of an item.
func (g *Group) value(item string, applied int) string {
	for i := applied - 1; i >= 0; i-- {
		if v, found := g.log[i].writes[item]; found {
			return v
		}
	}
	return ""
}

func (g *Group) position(applied int) string {
	return strconv.Itoa(g.term) + "." + strconv.Itoa(applied)
}
