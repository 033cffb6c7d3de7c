package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/pool"
)

// runningRequest is a request that was sent to an endpoint and has no response
// yet. injectedStatements are prepared ahead of it on the same connection.
type runningRequest struct {
	request            rosemarylb.Request
	connection         *Connection
	injectedStatements []rosemarylb.Statement
	startedAt          time.Time
}

// unconfirmedAnswer is the answer to a request whose position a majority has not
// confirmed. Only replica states that were requested at or after confirmedSince
// count; the zero time accepts any.
type unconfirmedAnswer struct {
	request        rosemarylb.Request
	outcome        rosemarylb.Outcome
	confirmedSince time.Time
}

// pooledConnection is a connection of the pool and the names of the statements
// prepared on it.
type pooledConnection struct {
	connection         *Connection
	preparedStatements map[string]struct{}
}

// servedEndpoint holds the state, the connections and the requests of one endpoint.
type servedEndpoint struct {
	spec               rosemarylb.EndpointSpec
	primary            rosemarylb.Primary
	isPrimary          bool
	state              rosemarylb.EndpointState
	acknowledger       rosemarylb.Acknowledger
	pool               pool.Pool
	queue              rosemarylb.Queue
	connections        map[uint64]*pooledConnection
	running            map[uint64]*runningRequest
	unconfirmed        []unconfirmedAnswer
	waitingReads       []rosemarylb.Request
	owned              bool
	nextProbeRequestAt time.Time
}

func newServedEndpoint(
	spec rosemarylb.EndpointSpec, acknowledger rosemarylb.Acknowledger, queue rosemarylb.Queue,
) *servedEndpoint {
	return &servedEndpoint{
		spec: spec,
		state: rosemarylb.EndpointState{
			ID: spec.ID,
		},
		acknowledger: acknowledger,
		pool:         pool.NewPool(spec.Connections),
		queue:        queue,
		connections:  map[uint64]*pooledConnection{},
		running:      map[uint64]*runningRequest{},
	}
}

// hasQueued reports whether a queue contains requests of any rank.
func hasQueued(q rosemarylb.Queue) bool {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if q.Depth(rank) > 0 {
			return true
		}
	}
	return false
}

// mayTakeConnection reports whether the most urgent rank with a queued request may
// take one more connection.
func (se *servedEndpoint) mayTakeConnection() bool {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if se.queue.Depth(rank) > 0 {
			return se.pool.MayBeginTransaction(rank)
		}
	}
	return false
}

// isFreshEnough reports whether the last known state of the endpoint satisfies the
// floor and the staleness bound of a read.
func (se *servedEndpoint) isFreshEnough(r rosemarylb.Request) bool {
	if !r.Floor.SatisfiedBy(se.state.Applied) {
		return false
	}
	return r.AsOf.IsZero() || !se.state.CaughtUpAt.Before(r.AsOf)
}
