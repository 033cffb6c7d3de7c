package keeper

import (
	"time"

	"rosemarylb"
)

const (
	// PermitDuration is how long a permit is valid, counted from its request.
	PermitDuration = 500 * time.Millisecond
	// leaseDuration is how long after the last change of the record, as an instance
	// sees it, it may take the lease. It exceeds an ordinary outage of the store.
	leaseDuration = 10 * time.Second
	// leaseMargin is how much earlier the lease expires for its holder, so that the
	// permits it granted last expire before another instance takes the lease.
	leaseMargin = time.Second
	// renewInterval is the interval between renewals of the lease.
	renewInterval = 2500 * time.Millisecond
	// storeRetryDelay is the delay before the record is read again after a read or
	// write that was not answered.
	storeRetryDelay = 100 * time.Millisecond
	// maxReadDelay is the maximum of that delay for an instance without the lease. The
	// delay doubles with each further read that is not answered, because calls that the
	// store rejects are billed too.
	maxReadDelay = time.Second
	// PromotionTimeout is how long after its decision a promotion may be sent or be in
	// transit.
	PromotionTimeout = time.Second
	// takeoverDelay is the delay before the first promotion by a new holder whose
	// predecessor did not release the lease. By then the predecessor has lost its
	// witnesses, and its promotions and permits have ended.
	takeoverDelay = witnessTimeout + PromotionTimeout + 500*time.Millisecond
	// storeFailureTimeout is how long the store leaves a holder's writes unanswered
	// before it yields the lease to an instance that reaches the store.
	storeFailureTimeout = 700 * time.Millisecond
	// storeAnswerMaxAge is the maximum age of the store's last answer to another
	// instance for which the lease is yielded.
	storeAnswerMaxAge = 1500 * time.Millisecond
	// memberTimeout is how long an instance counts as a member after its last
	// report.
	memberTimeout = 3 * time.Second
	// successionDelay is how long an instance that is no witness leaves an available
	// lease to the witnesses, which have the most capacity.
	successionDelay = time.Second
)

// Report is an instance's view of the system, sent with its request for permits.
type Report struct {
	// From is the instance that reports.
	From rosemarylb.InstanceID
	// Process identifies the instance's process as a witness.
	Process uint32
	// Support is the last answer of a holder that the instance has accepted.
	Support Support
	// Observations are the instance's observations of each group's primary.
	Observations []Observation
	// StoreAnsweredAt is when the store last answered the instance, zero for never.
	StoreAnsweredAt time.Time
	// Address is the address at which other instances reach it.
	Address string
	// Peer is where it accepts queries that other instances relay.
	Peer rosemarylb.RelayPeer
	// CatalogVersion is the version of the configuration that it has.
	CatalogVersion uint64
	// Capacity is the processor time that the instance may use, in thousandths of a
	// core, 0 if unknown.
	Capacity int
}

// Support names the last answer of a holder that an instance has accepted as a witness. It
// accepts none after a promise to ignore that holder, so that the answer is from before
// the promise, however late the report that names it is received.
type Support struct {
	// Token is the holder's token, 0 for none.
	Token uint64
	// AnsweredAt is when the holder sent the answer, by the holder's clock.
	AnsweredAt time.Time
}

// Observation is an instance's observation of one primary. Its times are by the
// keeper's clock.
type Observation struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Primary is the endpoint that was observed.
	Primary rosemarylb.EndpointID
	// AnsweredAt is when the last query that it answered was sent, zero for none.
	AnsweredAt time.Time
	// FirstFailureAt is when the first query failed since then, zero for none.
	FirstFailureAt time.Time
}

// Grant is a keeper's promise to replace a group's primary no earlier than
// PermitDuration after the grant.
type Grant struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Primary is the group's primary.
	Primary rosemarylb.EndpointID
	// Term is the primary's term.
	Term rosemarylb.Term
	// Position is a position of the primary's log, zero if none is known.
	Position rosemarylb.Position
	// PositionMicros is the age of Position at the time of the grant, counted from
	// the request for it, in microseconds.
	PositionMicros int64
}

// Write is a conditional write of the record.
type Write struct {
	// Record is the new record.
	Record Record
	// Replaces is the version that it replaces, of revision 0 to create the record.
	Replaces rosemarylb.Version
}

// EndpointQuery is a query to send to an endpoint.
type EndpointQuery struct {
	// Endpoint is the endpoint to query.
	Endpoint rosemarylb.EndpointSpec
	// Query is the query to send.
	Query rosemarylb.Query
}

// LogEvent is a change of the keeper's state that is to be logged.
type LogEvent struct {
	// Event is the log message.
	Event string
	// Group is the group that changed, empty for the lease.
	Group rosemarylb.DatabaseName
	// Endpoint is the endpoint that the event is about, empty for the lease.
	Endpoint rosemarylb.EndpointID
	// Term is the term that the event is about, zero if unknown.
	Term rosemarylb.Term
	// Reason is the cause or the outcome of the event.
	Reason string
	// AgeMillis is the age of the input that led to the event, in milliseconds:
	// the time since the primary's last answer or since the failover started.
	AgeMillis int64
}

// Decision lists the actions that a keeper has decided on.
type Decision struct {
	// Write is the write of the record, nil for none.
	Write *Write
	// Read is true when the record has to be read from the store.
	Read bool
	// Promotions are the promotions to send.
	Promotions []rosemarylb.Promotion
	// Queries are the queries to send to endpoints.
	Queries []EndpointQuery
	// LogEvents are the events to log.
	LogEvents []LogEvent
}

// Keeper is an instance's failover controller. It takes the lease when it is free
// and replaces primaries while it holds the lease. It is an immutable value.
type Keeper struct {
	self    rosemarylb.InstanceID
	process uint64
	address string

	// record is the record as last read, or as last confirmed while this instance holds
	// the lease; version is that of the stored record.
	record  Record
	version rosemarylb.Version
	// recordSeenAt is when the record last changed, or the holder last notified
	// this instance that its lease is valid.
	recordSeenAt time.Time
	recordKnown  bool

	holdsLease bool
	// token is the token of the lease that this instance took last.
	token uint64
	// membersSince is since when members have been collected.
	membersSince     time.Time
	shuttingDown     bool
	leaseUntil       time.Time
	promoteNotBefore time.Time
	renewAt          time.Time

	// releasedToken is the highest token whose holder has released the lease
	// without writing the record.
	releasedToken uint64
	// deposed is the record of the latest holder that has been deposed.
	deposed            Record
	lastActiveAt       time.Time
	ignoreReportsUntil time.Time
	witnessesLostAt    time.Time
	// confirmedAt is when the last write that took effect was sent.
	confirmedAt time.Time
	// cleanTakeover is true if the previous holder had released the lease and no holder
	// before it may still act.
	cleanTakeover bool
	// ownTakeover is true if the previous holder was an earlier process of this
	// instance, and no holder before it may still act. That process has ended, but
	// promotions that it sent may be in transit.
	ownTakeover bool
	tenure      Tenure
	// storeFailingSince is when the first of the unanswered writes was sent.
	storeFailingSince time.Time
	writePending      bool
	// lastWrite is the last write that was sent, pending or not.
	lastWrite   Write
	lastWriteAt time.Time
	// recordUncertain is true while an unanswered write may change the record.
	recordUncertain bool
	readNotBefore   time.Time
	// readFailures counts the reads since the store last returned the record.
	readFailures int
	// reclaimSince is since when this holder knows that the store no longer has its
	// lease, zero while the store has it.
	reclaimSince time.Time
	// eraChanged is true once this process has seen the store in two eras.
	eraChanged bool
	// staleTakeover is true if the lease was taken from a record of an earlier era.
	staleTakeover bool
	// remembered are the primaries that this process knew of when an era ended.
	remembered map[rosemarylb.DatabaseName]Leadership
	// availableSince is since when the lease may be taken, zero while it may not.
	availableSince time.Time

	members members
	// fleet is what the last decision derived from all reports.
	fleet     fleetSummary
	endpoints map[rosemarylb.DatabaseName][]rosemarylb.EndpointSpec
	// endpointsRevision is the number of lists of endpoints received, from 1.
	endpointsRevision uint64
	// syncReplicas are the numbers of synchronous replicas of the groups that have any,
	// nil while the configuration is not known.
	syncReplicas map[rosemarylb.DatabaseName]int
	groups       map[rosemarylb.DatabaseName]groupState
	logEvents    []LogEvent
}

// NewKeeper returns the keeper of an instance that has not yet read the record.
// The process number has to differ between processes of the same instance.
func NewKeeper(self rosemarylb.InstanceID, process uint64, address string) Keeper {
	return Keeper{
		self:    self,
		process: process,
		address: address,
	}
}

// WitnessProcess returns the number that identifies the process as a witness.
func (k Keeper) WitnessProcess() uint32 {
	return uint32(k.process)
}

// HoldsLease reports whether the instance holds the lease.
func (k Keeper) HoldsLease() bool {
	return k.holdsLease
}

// AnswersAt returns the time of an answer that an instance may name as its support, zero
// if this instance does not hold the lease. A holder without enough witnesses regains them
// by such answers.
func (k Keeper) AnswersAt(now time.Time) time.Time {
	if !k.holdsLease {
		return time.Time{}
	}
	return now
}

// Record returns the record as last read or written.
func (k Keeper) Record() Record {
	return k.record
}

// WithEndpoints sets the endpoints of all groups.
func (k Keeper) WithEndpoints(endpoints []rosemarylb.EndpointSpec) Keeper {
	before := k.endpoints
	k.endpointsRevision++
	k.endpoints = map[rosemarylb.DatabaseName][]rosemarylb.EndpointSpec{}
	for _, e := range endpoints {
		k.endpoints[e.Database] = append(k.endpoints[e.Database], e)
	}
	if k.holdsLease {
		k = k.withMissing(before)
	}
	return k
}

// WithCatalog sets the configuration. No endpoint is promoted before it is known, as it
// says which logs hold the acknowledged commits.
func (k Keeper) WithCatalog(c rosemarylb.Catalog) Keeper {
	k.syncReplicas = map[rosemarylb.DatabaseName]int{}
	for name, g := range c.Groups {
		if g.SyncReplicas > 0 {
			k.syncReplicas[name] = g.SyncReplicas
		}
	}
	return k
}

// WithShutdown makes the keeper release its lease and take none from then on.
func (k Keeper) WithShutdown() Keeper {
	k.shuttingDown = true
	return k
}

// WithReport stores an instance's report. It ignores reports for
// reportIgnoreDuration after a pause of the process.
func (k Keeper) WithReport(r Report, now time.Time) Keeper {
	k = k.withPauseCheck(now)
	if now.Before(k.ignoreReportsUntil) {
		return k
	}
	if r.Support.AnsweredAt.After(now) {
		// No answer of this holder can be named yet.
		r.Support = Support{}
	}
	k.members = k.members.withReport(r, now)
	return k
}

// Grants returns a grant for each group whose primary may be used, or false when
// this instance may not act as the keeper. The stored record names a primary of each.
func (k Keeper) Grants(now time.Time) ([]Grant, bool) {
	if !k.mayAct(now) {
		return nil, false
	}
	var grants []Grant
	for name := range k.endpoints {
		l := k.leadership(name)
		if l.FailingOver || l.Primary == "" || k.record.Groups[name].Primary == "" {
			// The next keeper has to know of a primary that is in use, as its log may
			// alone hold acknowledged commits.
			continue
		}
		g := Grant{
			Group:   name,
			Primary: l.Primary,
			Term:    l.Term,
		}
		if s, found := k.groups[name].states[l.Primary]; found && s.isPrimaryIn(l.Term) {
			g.Position = s.position
			g.PositionMicros = now.Sub(s.probedAt).Microseconds()
		}
		grants = append(grants, g)
	}
	return grants, true
}

// leadership returns the primary of a group that this keeper has decided on, or
// the one in the record if it has decided nothing for the group.
func (k Keeper) leadership(name rosemarylb.DatabaseName) Leadership {
	if l := k.groups[name].desired; l != (Leadership{}) {
		return l
	}
	return k.record.Groups[name]
}

// Decide returns the actions that are due. The caller reports their outcomes.
func (k Keeper) Decide(now time.Time) (Keeper, Decision) {
	var d Decision
	k = k.withPauseCheck(now)
	if k.holdsLease && !now.Before(k.leaseUntil) {
		k = k.withoutLease("expired")
	}
	if k.shouldYield(now) {
		k = k.withOwnLeaseReleased("yielded, as the store answers others")
	}
	k = k.withFleetSummary(now)
	k = k.withWitnessCheck(now)
	if k.mayAct(now) && !k.shuttingDown && k.reclaimSince.IsZero() {
		for name := range k.endpoints {
			k, d = k.decideGroup(name, d, now)
			k = k.withReplicas(name)
		}
	}
	k, d = k.decideRecord(d, now)
	d.LogEvents = k.logEvents
	k.logEvents = nil
	return k, d
}

func (k Keeper) withLogEvent(e LogEvent) Keeper {
	k.logEvents = append(append([]LogEvent(nil), k.logEvents...), e)
	return k
}

// withoutLease ends the instance's lease and drops the state of its groups.
func (k Keeper) withoutLease(reason string) Keeper {
	if !k.holdsLease {
		return k
	}
	k = k.withGroupsRemembered()
	k.holdsLease = false
	k.reclaimSince = time.Time{}
	k.groups = nil
	return k.withLogEvent(LogEvent{
		Event:  "lease lost",
		Reason: reason,
	})
}
