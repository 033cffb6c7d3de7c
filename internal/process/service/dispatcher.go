package service

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/peer/caller"
	"rosemarylb/internal/peer/endpoint"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/process/duty"
)

// dispatcher passes events between the rings of this instance's duties, and to
// and from other instances. It is stateless and never blocks on a ring.
type dispatcher struct {
	self           rosemarylb.InstanceID
	view           *duty.Latest[rosemarylb.View]
	senders        *instance.Senders
	fleet          *instance.Fleet
	owner          *endpoint.Owner
	sessionManager *caller.SessionManager
}

// Submit implements caller.Fleet.
func (d *dispatcher) Submit(r rosemarylb.Request) bool {
	if r.Target.Owner == d.self {
		return d.owner.Ring().Offer(endpoint.RequestSubmitted{
			Request: r,
		})
	}
	to, found := d.view.Load().Member(r.Target.Owner)
	if !found {
		return false
	}
	return d.senders.SendRequest(to, r, time.Now(), func(maybeSent bool) {
		d.reply(outcomeOfUnsent(r, maybeSent))
	})
}

// outcomeOfUnsent returns the outcome of a request that could not be sent to its
// owner. The outcome of a request with side effects is unknown if it may have been
// sent.
func outcomeOfUnsent(r rosemarylb.Request, maybeSent bool) rosemarylb.Outcome {
	if r.Target.PinnedConnection != 0 && !r.Class.MayCommit() {
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonPinnedConnectionLost)
	}
	if maybeSent && !r.HasNoSideEffects() {
		return rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost)
	}
	return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonUnreachable)
}

// Release implements caller.Fleet.
func (d *dispatcher) Release(id rosemarylb.RequestID, t rosemarylb.Target) {
	v := d.view.Load()
	if t.Owner == d.self || t.Owner == "" {
		d.owner.Ring().Offer(endpoint.SessionEnded{
			ID:               id,
			Endpoint:         t.Endpoint,
			PinnedConnection: t.PinnedConnection,
		})
		return
	}
	if to, found := v.Member(t.Owner); found {
		d.senders.SendRelease(to, id, t.Endpoint, t.PinnedConnection)
	}
}

// Cancel implements caller.Fleet.
func (d *dispatcher) Cancel(id rosemarylb.RequestID, t rosemarylb.Target) {
	if t.Owner == d.self {
		d.owner.Ring().Offer(endpoint.RequestCanceled{
			ID: id,
		})
		return
	}
	if to, found := d.view.Load().Member(t.Owner); found {
		d.senders.SendCancel(to, id, 0, 0)
	}
}

// ForwardCancel implements caller.Fleet.
func (d *dispatcher) ForwardCancel(to rosemarylb.Member, process, secret uint32) {
	d.senders.SendCancel(to, rosemarylb.RequestID{}, process, secret)
}

// reply delivers an outcome to the instance that accepted the request.
func (d *dispatcher) reply(o rosemarylb.Outcome) {
	if o.ID.Instance == d.self {
		d.sessionManager.Outcomes().Offer(caller.OutcomeReceived{
			Outcome: o,
		})
		return
	}
	if to, found := d.view.Load().Member(o.ID.Instance); found {
		d.senders.SendOutcome(to, o, time.Now())
	}
}

// announcePrimary passes a primary elected by this instance to the fleet duty.
func (d *dispatcher) announcePrimary(p rosemarylb.Primary) {
	d.fleet.Ring().Offer(instance.PrimaryAnnounced{
		Primary: p,
	})
}

// publishConfig passes a configuration from the platform to the fleet duty.
func (d *dispatcher) publishConfig(revision uint64, document []byte) {
	d.fleet.Ring().Offer(instance.DocumentPublished{
		Revision: revision,
		Document: document,
	})
}

// publishMembers passes the platform's list of instances to the fleet duty.
func (d *dispatcher) publishMembers(members []rosemarylb.Member) {
	d.fleet.Ring().Offer(instance.MembersListed{
		Members: members,
	})
}

// submitFrom submits a request received from another instance. It replies with
// ReasonOverload if the owner's ring is full.
func (d *dispatcher) submitFrom(from rosemarylb.InstanceID, r rosemarylb.Request) {
	accepted := d.owner.Ring().Offer(endpoint.RequestSubmitted{
		Request: r,
	})
	if accepted {
		return
	}
	if to, found := d.view.Load().Member(from); found {
		d.senders.SendOutcome(to, rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonOverload), time.Now())
	}
}

// receiver dispatches the messages received from other instances.
type receiver struct {
	dispatcher *dispatcher
}

// Submit implements instance.Receiver.
func (r receiver) Submit(from rosemarylb.InstanceID, q rosemarylb.Request) {
	r.dispatcher.submitFrom(from, q)
}

// ReceiveOutcome implements instance.Receiver. It blocks while the ring is full.
// The session manager never waits for the threads of the gRPC library, so this
// cannot deadlock.
func (r receiver) ReceiveOutcome(o rosemarylb.Outcome) {
	r.dispatcher.sessionManager.Outcomes().Put(caller.OutcomeReceived{
		Outcome: o,
	})
}

// Cancel implements instance.Receiver.
func (r receiver) Cancel(id rosemarylb.RequestID, process, secret uint32) {
	if id.Instance != "" {
		r.dispatcher.owner.Ring().Offer(endpoint.RequestCanceled{
			ID: id,
		})
		return
	}
	r.dispatcher.sessionManager.Ring().Offer(caller.CancelRequested{
		Process:   process,
		Secret:    secret,
		Forwarded: true,
	})
}

// Release implements instance.Receiver.
func (r receiver) Release(id rosemarylb.RequestID, e rosemarylb.EndpointID, pinnedConnection uint64) {
	r.dispatcher.owner.Ring().Offer(endpoint.SessionEnded{
		ID:               id,
		Endpoint:         e,
		PinnedConnection: pinnedConnection,
	})
}

// HandleFleetEvent implements instance.Receiver.
func (r receiver) HandleFleetEvent(e instance.Event) {
	r.dispatcher.fleet.Ring().Offer(e)
}
