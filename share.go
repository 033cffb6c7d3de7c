package rosemarylb

// ConnectionShare is an instance's share of the connections to an endpoint.
type ConnectionShare struct {
	// Members is the number of instances that share the connections.
	Members int
	// Index is the index of this instance among them, from 0.
	Index int
	// Provisional is true before a keeper has counted the instances: Members is
	// what the record says, and Index is not known.
	Provisional bool
}

// Limit returns the number of connections that the instance may open, at least
// one, and one for a provisional share. The offset rotates the instances that receive the remainder of the
// division, so that endpoints with different offsets favour different
// instances.
func (s ConnectionShare) Limit(connections, offset int) int {
	if s.Members < 1 || s.Provisional {
		return 1
	}
	limit := connections / s.Members
	if (s.Index+offset)%s.Members < connections%s.Members {
		limit++
	}
	return max(limit, 1)
}
