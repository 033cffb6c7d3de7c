// Package keeperduty runs a keeper as a duty: it executes the keeper's decisions
// against the store, the promoter and the endpoints, and answers the permit
// requests of other instances.
package keeperduty

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/traffic/quota"
)

// Event is an input of the duty.
type Event interface {
	keepingEvent()
}

// RecordObserved reports the record as read from the store.
type RecordObserved struct {
	// Object holds the encoded record; its revision is 0 when there is no record.
	Object rosemarylb.Object
}

// EndpointsChanged reports the registered endpoints of all groups.
type EndpointsChanged struct {
	// Endpoints is the complete list.
	Endpoints []rosemarylb.EndpointSpec
}

// CatalogChanged reports a new version of the configuration.
type CatalogChanged struct {
	// Catalog is the configuration.
	Catalog rosemarylb.Catalog
}

// ReserveRequested is an instance's request for tokens.
type ReserveRequested struct {
	// Request is the request.
	Request quota.Request
	// Reply receives the reply; it is buffered for one, as the duty does not block on
	// it.
	Reply chan<- quota.Reply
}

// PermitRequested is an instance's request for permits.
type PermitRequested struct {
	// Report is what the instance has observed.
	Report keeper.Report
	// Indexed are further observations, by their places in the list of grants of version
	// GrantsVersion. They are ignored if that list is not known.
	Indexed       []IndexedObservation
	GrantsVersion uint64
	// Reply receives the reply; it is buffered for one, as the duty does not
	// block on it.
	Reply chan<- PermitReply
}

// IndexedObservation is an observation of the primary in a list of grants.
type IndexedObservation struct {
	// Place is the place of the grant in the list, from 0.
	Place int
	// AnsweredAt and FirstFailureAt are as in keeper.Observation.
	AnsweredAt, FirstFailureAt time.Time
}

// PermitReply is the reply to a request for permits.
type PermitReply struct {
	// IsHolder is true when this instance may act as the lease holder.
	IsHolder bool
	// AnsweredAt is the time of this reply while this instance holds the lease, also
	// without enough witnesses to act, zero otherwise.
	AnsweredAt time.Time
	// Grants lists the primaries that may be used, in the order of the list that
	// GrantsVersion identifies, 0 for none.
	Grants        []keeper.Grant
	GrantsVersion uint64
	// Share is the requesting instance's share of each endpoint's connections.
	Share rosemarylb.ConnectionShare
	// ReleasedToken is the token of a lease that this instance has released without
	// a write to the store, 0 for none.
	ReleasedToken uint64
	// HolderAddress is the host:port of the last known lease holder.
	HolderAddress string
	// HolderToken is the fencing token of that holder.
	HolderToken uint64
	// Peers are the instances that accept forwarded queries.
	Peers keeper.PeerList
	// SendsChanges is true when these replies report changes in the store to the
	// requesting instance. WatchesStore is true when that instance has to watch the
	// configuration and the record in the store as well.
	SendsChanges, WatchesStore bool
	// CatalogVersion is the newest known version of the configuration.
	CatalogVersion uint64
	// Endpoints are the registered endpoints; EndpointsVersion identifies the
	// list, and is 0 before the list is known.
	Endpoints        []rosemarylb.EndpointSpec
	EndpointsVersion uint64
	// Loads are the loads of the endpoints, in the order of Endpoints; LoadsVersion
	// identifies the list, and is 0 before it is known.
	Loads        []rosemarylb.EndpointLoad
	LoadsVersion uint64
	// Catalog is the configuration that the keeper holds, of version 0 if none.
	Catalog rosemarylb.Catalog
}

// LeaseReleased reports that a holder has released the lease without a write to the
// store.
type LeaseReleased struct {
	// Token is the token of the released lease.
	Token uint64
}

// RetireRequested makes the keeper release the lease, as the instance shuts down.
type RetireRequested struct{}

// HolderDeposed reports that enough witnesses have promised to ignore a lease
// holder for another instance to take the lease.
type HolderDeposed struct {
	// Record is the record whose holder they ignore and that names them as witnesses.
	Record keeper.Record
}

// holderAnswered reports that the lease holder answers this instance, so that the
// lease is still valid although the record is not watched.
type holderAnswered struct{}

// writeFinished is the result of a write of the record; failed means that its
// outcome is unknown.
type writeFinished struct {
	outcome rosemarylb.PutOutcome
	failed  bool
}

// readFailed reports that a read of the record failed.
type readFailed struct{}

type promotionFinished struct {
	promotion rosemarylb.Promotion
	outcome   rosemarylb.PromotionOutcome
}

type connectionOpened struct {
	id rosemarylb.ConnectionID
}

type queryReplied struct {
	id    rosemarylb.ConnectionID
	reply rosemarylb.Reply
}

type connectionLost struct {
	id   rosemarylb.ConnectionID
	code rosemarylb.ReplyCode
}

func (holderAnswered) keepingEvent()    {}
func (RecordObserved) keepingEvent()    {}
func (EndpointsChanged) keepingEvent()  {}
func (CatalogChanged) keepingEvent()    {}
func (ReserveRequested) keepingEvent()  {}
func (PermitRequested) keepingEvent()   {}
func (RetireRequested) keepingEvent()   {}
func (LeaseReleased) keepingEvent()     {}
func (HolderDeposed) keepingEvent()     {}
func (writeFinished) keepingEvent()     {}
func (readFailed) keepingEvent()        {}
func (promotionFinished) keepingEvent() {}
func (connectionOpened) keepingEvent()  {}
func (queryReplied) keepingEvent()      {}
func (connectionLost) keepingEvent()    {}
