package rosemarylb

// Share is the part of an endpoint's connections that an instance may hold.
type Share struct {
	// Members is how many instances share them.
	Members int
	// Index numbers this instance among them, from 0.
	Index int
}

// Limit returns how many of a number of connections the instance may hold, at
// least one. The remainder goes to some instances, others for each offset.
func (s Share) Limit(connections, offset int) int {
	if s.Members < 1 {
		return 1
	}
	limit := connections / s.Members
	if (s.Index+offset)%s.Members < connections%s.Members {
		limit++
	}
	return max(limit, 1)
}
