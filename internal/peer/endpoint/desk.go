package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/pool"
)

// running is a request that an endpoint works on.
type running struct {
	request    rosemarylb.Request
	connection *Connection
	injected   []rosemarylb.Statement
	startedAt  time.Time
}

// held is an answer that waits until its position is confirmed.
type held struct {
	request rosemarylb.Request
	outcome rosemarylb.Outcome
	since   time.Time
}

// link is an open connection and what it has prepared.
type link struct {
	connection *Connection
	prepared   map[string]struct{}
}

// desk is the work of one endpoint.
type desk struct {
	spec    rosemarylb.EndpointSpec
	primary rosemarylb.Primary
	leads   bool
	state   rosemarylb.EndpointState
	acks    rosemarylb.Acknowledger
	pool    pool.Pool
	queue   rosemarylb.Queue
	links   map[uint64]*link
	running map[uint64]*running
	held    []held
	waiting []rosemarylb.Request
	owned   bool
	wantAt  time.Time
}

func newDesk(spec rosemarylb.EndpointSpec, acks rosemarylb.Acknowledger, queue rosemarylb.Queue) *desk {
	return &desk{
		spec: spec,
		state: rosemarylb.EndpointState{
			ID: spec.ID,
		},
		acks:    acks,
		pool:    pool.NewPool(spec.Connections),
		queue:   queue,
		links:   map[uint64]*link{},
		running: map[uint64]*running{},
	}
}

// waits reports whether requests wait in a queue.
func waits(q rosemarylb.Queue) bool {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if q.Depth(rank) > 0 {
			return true
		}
	}
	return false
}

// mayBegin reports whether the most urgent rank that waits may take another
// connection.
func (d *desk) mayBegin() bool {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if d.queue.Depth(rank) > 0 {
			return d.pool.MayBeginTransaction(rank)
		}
	}
	return false
}

// satisfies reports whether the replica's last known state serves a read.
func (d *desk) satisfies(r rosemarylb.Request) bool {
	if !r.Floor.SatisfiedBy(d.state.Applied) {
		return false
	}
	return r.AsOf.IsZero() || !d.state.CaughtUpAt.Before(r.AsOf)
}
