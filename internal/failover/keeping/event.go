// Package keeping runs the keeper's duty: it carries the keeper's decisions to
// the store, to the promoter and to endpoints, and answers the instances that
// ask for permits.
package keeping

import (
	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

// Event is what the duty takes.
type Event interface {
	keepingEvent()
}

// Observed brings the record as it stood in the store.
type Observed struct {
	// Object is the record's object, with version 0 when there is none.
	Object rosemarylb.Object
}

// Registered brings the registered endpoints.
type Registered struct {
	// Endpoints are the endpoints.
	Endpoints []rosemarylb.EndpointSpec
}

// Questioned brings an instance's question for permits.
type Questioned struct {
	// Report is what it has seen.
	Report keeper.Report
	// Answer takes the answer; it has room for one.
	Answer chan<- Answer
}

// Answer is the answer to an instance's question.
type Answer struct {
	// Keeps is false when this instance does not keep.
	Keeps bool
	// Grants are the groups whose primaries may be used.
	Grants []keeper.Grant
	// Share is the asker's part of endpoints' connections.
	Share rosemarylb.ConnectionShare
	// Released is the token of a lease that this instance has given up without
	// the store's knowledge, 0 for none.
	Released uint64
	// HolderAddress is where the holder that this instance knows of is reached.
	HolderAddress string
	// Token is that holder's token.
	Token uint64
	// Peers take queries that others pass on; PeersVersion identifies the list.
	Peers        []rosemarylb.RelayPeer
	PeersVersion uint64
	// Tells is true when the asker is told what changes in the store, and Follows
	// when it follows the configuration and the record itself all the same.
	Tells, Follows bool
	// Catalog is the newest version of the configuration that is known.
	Catalog uint64
	// Endpoints are the registered endpoints; EndpointsVersion identifies the
	// list.
	Endpoints        []rosemarylb.EndpointSpec
	EndpointsVersion uint64
}

// Released tells that the holder of a token has given the lease up.
type Released struct {
	// Token is the token.
	Token uint64
}

// Retired has the keeper give the lease back.
type Retired struct{}

// Deposed tells that enough witnesses of a token's holder have promised to
// listen to it no more.
type Deposed struct {
	// Token is the holder's token.
	Token uint64
}

// told tells that the holder of the lease is heard by this instance.
type told struct{}

type written struct {
	outcome rosemarylb.PutOutcome
	failed  bool
}

type unread struct{}

type promoted struct {
	promotion rosemarylb.Promotion
	outcome   rosemarylb.PromotionOutcome
}

type opened struct {
	id rosemarylb.ConnectionID
}

type replied struct {
	id    rosemarylb.ConnectionID
	reply rosemarylb.Reply
}

type lost struct {
	id   rosemarylb.ConnectionID
	code rosemarylb.ReplyCode
}

func (told) keepingEvent()       {}
func (Observed) keepingEvent()   {}
func (Registered) keepingEvent() {}
func (Questioned) keepingEvent() {}
func (Retired) keepingEvent()    {}
func (Released) keepingEvent()   {}
func (Deposed) keepingEvent()    {}
func (written) keepingEvent()    {}
func (unread) keepingEvent()     {}
func (promoted) keepingEvent()   {}
func (opened) keepingEvent()     {}
func (replied) keepingEvent()    {}
func (lost) keepingEvent()       {}
