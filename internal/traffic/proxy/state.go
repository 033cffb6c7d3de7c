package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/freshness"
	"rosemarylb/internal/traffic/sessionstate"
)

// session is the state of a caller or relay session.
type session struct {
	state  sessionstate.Session
	route  rosemarylb.Route
	access access
	// relayEndpoint is the endpoint that the other instance of a relay session
	// regards as the primary, empty in a session of a caller.
	relayEndpoint rosemarylb.EndpointID
	current       *pendingQuery
	pipelined     []rosemarylb.Query
	pinned        *connection
}

// pendingQuery is a query that has not been answered yet.
type pendingQuery struct {
	number           uint64
	session          *session
	route            rosemarylb.Route
	team             rosemarylb.TeamName
	query            rosemarylb.Query
	needsPrimary     bool
	needsBegin       bool
	inTransaction    bool
	arrivedAt        time.Time
	asOf             time.Time
	deadline         time.Time
	queue            queueKind
	attempts         int
	delayedUntil     time.Time
	excluded         []rosemarylb.EndpointID
	connection       *connection
	endpoint         rosemarylb.EndpointID
	requiredPosition rosemarylb.Position
	steps            []rosemarylb.Query
	sent             bool
	sentAt           time.Time
	term             rosemarylb.Term
	// random are the random numbers that decide where a read goes.
	random [3]float64
	// leavesRegion is true if the read was sent to another region though this one
	// could have served it.
	leavesRegion bool
}

// isAbandoned reports whether the session no longer awaits the query.
func (pq *pendingQuery) isAbandoned() bool {
	return pq.session.current != pq
}

// isRelayed reports whether another instance passed the query on to this one.
func (pq *pendingQuery) isRelayed() bool {
	return pq.session.relayEndpoint != ""
}

// hasBegun reports whether the query belongs to a transaction that has begun on an
// endpoint. It can run nowhere else.
func (pq *pendingQuery) hasBegun() bool {
	return pq.inTransaction && !pq.needsBegin
}

// isIdempotent reports whether the query can safely run twice.
func (pq *pendingQuery) isIdempotent() bool {
	return !pq.query.Writes && pq.query.Kind != rosemarylb.QueryCommit
}

// mayCommitWrites reports whether the query can make changes permanent: it is a
// write outside a transaction, or the commit of a transaction that wrote.
func (pq *pendingQuery) mayCommitWrites() bool {
	return pq.query.MayCommit(pq.inTransaction) && (!pq.inTransaction || pq.session.state.WriteRequested())
}

// excludes reports whether an endpoint failed to serve the query in an earlier
// attempt.
func (pq *pendingQuery) excludes(id rosemarylb.EndpointID) bool {
	for _, a := range pq.excluded {
		if a == id {
			return true
		}
	}
	return false
}

// connectionState is the state of a connection. In dumps and logs, pinned
// connections are named leased, and connections that roll back cleaning.
type connectionState uint8

const (
	connectionOpening connectionState = iota
	connectionIdle
	connectionBusy
	connectionPinned
	connectionRollingBack
)

var connectionStateNames = [...]string{"opening", "idle", "busy", "leased", "cleaning"}

func (s connectionState) String() string {
	return connectionStateNames[s]
}

// connection is a connection to an endpoint, with the settings and prepared
// statements set on it.
type connection struct {
	id          rosemarylb.ConnectionID
	pool        *endpointPool
	state       connectionState
	expiresAt   time.Time
	current     *pendingQuery
	pipelined   []*pendingQuery
	session     *session
	settings    map[string]string
	settingsKey string
	prepared    map[string]struct{}
	// team is the team that a direct connection belongs to. A relay connection carries
	// queries of all teams.
	team    rosemarylb.TeamName
	term    rosemarylb.Term
	closing bool
	// via is the address of the instance that the connection goes through, empty
	// for a direct connection.
	via string
}

// isRelayed reports whether the connection goes through another instance.
func (c *connection) isRelayed() bool {
	return c.via != ""
}

// endpointPool is an endpoint and the connections to it.
type endpointPool struct {
	spec           rosemarylb.EndpointSpec
	group          *group
	connections    []*connection
	removed        bool
	nextOpenAt     time.Time
	avoidUntil     time.Time
	laggingUntil   time.Time
	applied        rosemarylb.Position
	stats          endpointStats
	load           rosemarylb.EndpointLoad
	nextRelayAt    time.Time
	softLimit      int
	softLimitUntil time.Time
	owners         endpointOwners
	teamOwners     teamOwners
	// relayRejectedUntil is, for the address of each instance that rejected a
	// relay connection to the endpoint, the time until which it is not asked again.
	relayRejectedUntil map[string]time.Time
}

// usableConnections returns how many connections to the endpoint the instances
// share: all but those reserved for the keeper.
func (ep *endpointPool) usableConnections() int {
	return ep.spec.Connections - reservedConnections
}

func (ep *endpointPool) count(s connectionState) int {
	n := 0
	for _, c := range ep.connections {
		if c.state == s {
			n++
		}
	}
	return n
}

// group is a replicated database.
type group struct {
	name        rosemarylb.DatabaseName
	permit      rosemarylb.Permit
	samples     freshness.Samples
	pools       []*endpointPool
	queues      [queueKindCount]rosemarylb.Queue
	queued      map[uint64]*pendingQuery
	delayed     []*pendingQuery
	heldReplies []heldReply
	observation Observation
	// leaderlessSince is the time since which no endpoint may be used as the
	// primary, zero while one may.
	leaderlessSince time.Time
	// demotedTerm is the latest term whose primary rejected a write as
	// read-only, at demotedAt.
	demotedTerm rosemarylb.Term
	demotedAt   time.Time
	balancing   balancing
}

// heldReply is a reply of a primary that is held until a permit covers it.
type heldReply struct {
	query      *pendingQuery
	reply      rosemarylb.Reply
	receivedAt time.Time
}
