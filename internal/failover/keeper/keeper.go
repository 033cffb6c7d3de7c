package keeper

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"rosemarylb"
)

const (
	// PermitSpan is how long a permit holds, counted from its question.
	PermitSpan = 500 * time.Millisecond
	// leaseSpan is how long a record that does not change keeps others from
	// taking the lease: longer than an ordinary outage of the store.
	leaseSpan = 10 * time.Second
	// leaseMargin is how much sooner the holder stops by itself; it covers the
	// permits given last.
	leaseMargin = time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2500 * time.Millisecond
	// rewritePause is the wait after a write that was not answered.
	rewritePause = 100 * time.Millisecond
	// PromotionTimeout bounds a promote call; none travels longer.
	PromotionTimeout = time.Second
	// promotionTravel is how long a successor waits before its first promotion
	// so that its predecessor has stopped for want of witnesses, and no order
	// or permit of it is left.
	promotionTravel = witnessSpan + PromotionTimeout + 500*time.Millisecond
	// yieldAfter is how long a holder's write stays without an answer before
	// it gives the lease to an instance that the store answers.
	yieldAfter = 700 * time.Millisecond
	// storeSpan is how recent an answer of the store to another instance has
	// to be for that.
	storeSpan = 1500 * time.Millisecond
	// memberSpan is how long an instance counts after its last question.
	memberSpan = 3 * time.Second
)

// Report is what an instance has seen, told with its question for permits.
type Report struct {
	// From is the instance.
	From rosemarylb.InstanceID
	// Seen is what it has seen of each group's primary.
	Seen []Evidence
	// StoreAt is when the store last answered it, zero for never.
	StoreAt time.Time
	// Address is where other instances reach it.
	Address string
	// Peer is where it takes queries that others pass on.
	Peer rosemarylb.Peer
	// Catalog is the version of the configuration that it has.
	Catalog uint64
}

// Evidence is what an instance has seen of one primary, in the keeper's time.
type Evidence struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Primary is the endpoint.
	Primary rosemarylb.EndpointID
	// AnsweredAt is when the last answered query was sent, zero for none.
	AnsweredAt time.Time
	// FailingAt is when the first failure since then was seen, zero for none.
	FailingAt time.Time
}

// Grant is a keeper's word that it moves a group's primary no sooner than the
// span of a permit after the word was given.
type Grant struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Primary is its primary.
	Primary rosemarylb.EndpointID
	// Term is the primary's term.
	Term rosemarylb.Term
	// Position is a position of the primary's log, zero if none is known.
	Position rosemarylb.Position
	// PositionMicros is the time from the question for the position to the
	// keeper's word, in microseconds.
	PositionMicros int64
}

// Write is a conditional write of the record.
type Write struct {
	// Record is what to write.
	Record Record
	// Revision is the version that it replaces, 0 to create.
	Revision uint64
}

// Order is a query to an endpoint.
type Order struct {
	// Endpoint is the endpoint.
	Endpoint rosemarylb.EndpointSpec
	// Query is what to ask.
	Query rosemarylb.Query
}

// Note is a change of belief, to be logged.
type Note struct {
	// Event says what changed.
	Event string
	// Group is the group that it concerns, empty for the lease.
	Group rosemarylb.DatabaseName
	// Endpoint is the endpoint that it concerns.
	Endpoint rosemarylb.EndpointID
	// Term is the term that it concerns.
	Term rosemarylb.Term
	// Reason says why.
	Reason string
	// Age is how old the deciding input is, in milliseconds.
	AgeMillis int64
}

// Decision is what a keeper wants done.
type Decision struct {
	// Write is the record to write, nil for none.
	Write *Write
	// Read asks for the record as it stands.
	Read bool
	// Promotions are the orders to promote.
	Promotions []rosemarylb.Promotion
	// Orders are queries to endpoints.
	Orders []Order
	// Notes are what changed.
	Notes []Note
}

// member is what an instance last told.
type member struct {
	at      time.Time
	storeAt time.Time
	address string
	peer    rosemarylb.Peer
	catalog uint64
	seen    map[rosemarylb.DatabaseName]Evidence
}

// Keeper is one instance's part in keeping: it takes the lease when it is
// free, and moves primaries while it holds it. It is an immutable value.
type Keeper struct {
	self    rosemarylb.InstanceID
	process uint64
	address string

	record   Record
	revision uint64
	seenAt   time.Time
	known    bool

	leading     bool
	token       uint64
	leadsFrom   time.Time
	retiring    bool
	leaseUntil  time.Time
	promoteFrom time.Time
	renewAt     time.Time

	freed   uint64
	deposed uint64
	awakeAt time.Time
	deafTo  time.Time
	alone   time.Time
	// confirmedAt is when the last write that took effect was sent.
	confirmedAt time.Time
	clean       bool
	failingAt   time.Time
	writing     bool
	written     Write
	writtenAt   time.Time
	uncertain   bool
	readAt      time.Time

	members   map[rosemarylb.InstanceID]member
	endpoints map[rosemarylb.DatabaseName][]rosemarylb.EndpointSpec
	watches   map[rosemarylb.DatabaseName]watch
	notes     []Note
}

// NewKeeper returns the keeper of an instance that knows nothing yet.
func NewKeeper(self rosemarylb.InstanceID, process uint64, address string) Keeper {
	return Keeper{
		self:    self,
		process: process,
		address: address,
	}
}

// Leading reports whether the instance holds the lease.
func (k Keeper) Leading() bool {
	return k.leading
}

// Record returns the record as last seen.
func (k Keeper) Record() Record {
	return k.record
}

// WithEndpoints returns the keeper told of the endpoints of all groups.
func (k Keeper) WithEndpoints(endpoints []rosemarylb.EndpointSpec) Keeper {
	k.endpoints = map[rosemarylb.DatabaseName][]rosemarylb.EndpointSpec{}
	for _, e := range endpoints {
		k.endpoints[e.Database] = append(k.endpoints[e.Database], e)
	}
	return k
}

// WithRetiring returns the keeper that gives the lease back.
func (k Keeper) WithRetiring() Keeper {
	k.retiring = true
	return k
}

// WithReport returns the keeper told what an instance has seen.
func (k Keeper) WithReport(r Report, now time.Time) Keeper {
	k = k.withAwake(now)
	if now.Before(k.deafTo) {
		return k
	}
	k.members = maps.Clone(k.members)
	if k.members == nil {
		k.members = map[rosemarylb.InstanceID]member{}
	}
	seen := map[rosemarylb.DatabaseName]Evidence{}
	for _, e := range r.Seen {
		seen[e.Group] = e
	}
	k.members[r.From] = member{
		at:      now,
		storeAt: r.StoreAt,
		address: r.Address,
		peer:    r.Peer,
		catalog: r.Catalog,
		seen:    seen,
	}
	for id, m := range k.members {
		if now.Sub(m.at) > memberSpan {
			delete(k.members, id)
		}
	}
	return k
}

// Share returns how endpoints' connections are divided, seen from an instance.
func (k Keeper) Share(of rosemarylb.InstanceID) rosemarylb.Share {
	s := rosemarylb.Share{
		Members: max(len(k.members), k.record.Members),
	}
	for id := range k.members {
		if id < of {
			s.Index++
		}
	}
	return s
}

// peerLimit is how many peers an instance is told of, so that the list stays a
// few kilobytes.
const peerLimit = 128

// Peers returns the instances that take queries which others pass on, and the
// version of that list.
func (k Keeper) Peers() ([]rosemarylb.Peer, uint64) {
	var peers []rosemarylb.Peer
	h := fnv.New64a()
	for _, id := range slices.Sorted(maps.Keys(k.members)) {
		p := k.members[id].peer
		if p.Address == "" || len(peers) >= peerLimit {
			continue
		}
		peers = append(peers, p)
		_, _ = h.Write([]byte(p.Address + " " + string(p.Region) + " "))
	}
	return peers, h.Sum64()
}

// Grants returns the groups whose primaries may be used, false when this
// instance does not keep.
func (k Keeper) Grants(now time.Time) ([]Grant, bool) {
	if !k.holds(now) {
		return nil, false
	}
	var grants []Grant
	for name := range k.endpoints {
		l := k.leadership(name)
		if l.Moving || l.Primary == "" {
			continue
		}
		g := Grant{
			Group:   name,
			Primary: l.Primary,
			Term:    l.Term,
		}
		if s, found := k.watches[name].states[l.Primary]; found && s.leads(l.Term) {
			g.Position = s.position
			g.PositionMicros = now.Sub(s.askedAt).Microseconds()
		}
		grants = append(grants, g)
	}
	return grants, true
}

// leadership returns the primary of a group as this keeper has decided, or as
// the record names it.
func (k Keeper) leadership(name rosemarylb.DatabaseName) Leadership {
	if w := k.watches[name].wanted; w != (Leadership{}) {
		return w
	}
	return k.record.Groups[name]
}

// Decide returns what is due now.
func (k Keeper) Decide(now time.Time) (Keeper, Decision) {
	var d Decision
	k = k.withAwake(now)
	if k.leading && !now.Before(k.leaseUntil) {
		k = k.withoutLease("expired")
	}
	if k.yields(now) {
		k.freed = k.record.Token
		k = k.withoutLease("yielded, as the store answers others")
	}
	k = k.withWitnessed(now)
	if k.holds(now) && !k.retiring {
		for name := range k.endpoints {
			k, d = k.decideGroup(name, d, now)
		}
	}
	k, d = k.decideRecord(d, now)
	d.Notes = k.notes
	k.notes = nil
	return k, d
}

func (k Keeper) withNote(n Note) Keeper {
	k.notes = append(append([]Note(nil), k.notes...), n)
	return k
}

// withoutLease returns the keeper that has lost the lease.
func (k Keeper) withoutLease(reason string) Keeper {
	if !k.leading {
		return k
	}
	k.leading = false
	k.watches = nil
	return k.withNote(Note{
		Event:  "lease lost",
		Reason: reason,
	})
}
