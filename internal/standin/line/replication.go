package line

import "time"

// replicaPollInterval is the time between two looks whether a replica has a commit.
const replicaPollInterval = 2 * time.Millisecond

// WithSynchronousReplica has the primary acknowledge a commit once one replica has
// received it.
func WithSynchronousReplica() GroupOption {
	return func(g *Group) {
		g.isSynchronous = true
	}
}

// IsSynchronous reports whether a commit is acknowledged once a replica has received it.
func (g *Group) IsSynchronous() bool {
	return g.isSynchronous
}

// SetLag sets by how much longer than the others of its group the endpoint takes to
// receive a commit.
func (s *Server) SetLag(lag time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.lag = lag
}

// isReceived reports whether an endpoint other than the one that wrote a commit has it.
// The caller holds the lock of the group.
func (g *Group) isReceived(c *Commit, writer *Server) bool {
	for _, s := range g.servers {
		if s != writer && c.Number <= len(s.log) && s.log[c.Number-1] == c {
			return true
		}
	}
	return false
}

// awaitReplica waits until a replica has received the commit of the last statement, if its
// group is synchronous. It marks the session as broken if the endpoint stops before.
func (ss *session) awaitReplica() {
	s, c := ss.server, ss.unconfirmed
	ss.unconfirmed = nil
	for c != nil && s.group.isSynchronous && !ss.isBroken {
		s.group.mu.Lock()
		s.group.advanceTo(time.Now())
		ss.isBroken = s.isStopped
		received := s.group.isReceived(c, s)
		s.group.mu.Unlock()
		if received {
			return
		}
		time.Sleep(replicaPollInterval)
	}
}
