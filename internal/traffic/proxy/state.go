package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/dialogue"
	"rosemarylb/internal/traffic/freshness"
)

// session is a caller's session and what it waits for.
type session struct {
	dialogue dialogue.Dialogue
	route    rosemarylb.Route
	// relayFor is the endpoint that another instance passes queries on for,
	// empty for a caller.
	relayFor rosemarylb.EndpointID
	job      *job
	waiting  []rosemarylb.Query
	link     *link
}

// job is one query on its way through an endpoint.
type job struct {
	number    uint64
	session   *session
	route     rosemarylb.Route
	query     rosemarylb.Query
	primary   bool
	begin     bool
	inside    bool
	arrivedAt time.Time
	asOf      time.Time
	deadline  time.Time
	attempts  int
	parkedTo  time.Time
	avoid     []rosemarylb.EndpointID
	link      *link
	at        rosemarylb.EndpointID
	wait      rosemarylb.Position
	steps     []rosemarylb.Query
	sent      bool
	sentAt    time.Time
	term      rosemarylb.Term
}

// orphan reports whether nobody waits for the job any more.
func (j *job) orphan() bool {
	return j.session.job != j
}

// onlyReads reports whether running the job twice does no harm.
func (j *job) onlyReads() bool {
	return !j.query.Writes && j.query.Kind != rosemarylb.QueryCommit
}

// mayLast reports whether the job can make changes last: a single write, or
// the commit of a transaction that wrote.
func (j *job) mayLast() bool {
	return j.query.MayCommit(j.inside) && (!j.inside || j.session.dialogue.Wrote())
}

// avoids reports whether an endpoint could not serve the job before.
func (j *job) avoids(id rosemarylb.EndpointID) bool {
	for _, a := range j.avoid {
		if a == id {
			return true
		}
	}
	return false
}

// linkState is what a connection is doing.
type linkState uint8

const (
	linkOpening linkState = iota
	linkIdle
	linkBusy
	linkLeased
	linkCleaning
)

var linkStateNames = [...]string{"opening", "idle", "busy", "leased", "cleaning"}

// String returns the name of the state.
func (s linkState) String() string {
	return linkStateNames[s]
}

// link is a connection to an endpoint and what was laid onto it.
type link struct {
	id       rosemarylb.ConnectionID
	pool     *pool
	state    linkState
	until    time.Time
	job      *job
	behind   []*job
	session  *session
	values   map[string]string
	key      string
	prepared map[string]struct{}
	term     rosemarylb.Term
	closing  bool
	// via is true for a connection through another instance.
	via bool
}

// pool is one endpoint and the connections to it.
type pool struct {
	spec      rosemarylb.EndpointSpec
	group     *group
	links     []*link
	gone      bool
	openAt    time.Time
	avoidTo   time.Time
	behindTo  time.Time
	applied   rosemarylb.Position
	pace      pace
	relayAt   time.Time
	softLimit int
	softUntil time.Time
}

func (l *pool) count(s linkState) int {
	n := 0
	for _, k := range l.links {
		if k.state == s {
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
	pools       []*pool
	lines       [lineCount]rosemarylb.Queue
	jobs        map[uint64]*job
	parked      []*job
	held        []held
	observation Observation
	// leaderless is since when no endpoint may be used as the primary, zero while
	// one may.
	leaderless time.Time
	// demoted is the last term whose primary was seen not to lead, at demotedAt.
	demoted   rosemarylb.Term
	demotedAt time.Time
}

// held is the answer of a primary that waits for a permit that covers it.
type held struct {
	job   *job
	reply rosemarylb.Reply
	at    time.Time
}
