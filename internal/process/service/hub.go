package service

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/peer/caller"
	"rosemarylb/internal/peer/endpoint"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/process/duty"
)

// hub joins the rings of the duties, here and on other instances. It keeps no
// state of its own and never waits for a ring.
type hub struct {
	self    rosemarylb.InstanceID
	view    *duty.Latest[rosemarylb.View]
	senders *instance.Senders
	fleet   *instance.Fleet
	owner   *endpoint.Owner
	edge    *caller.SessionManager
}

// Submit implements caller.Fleet.
func (h *hub) Submit(r rosemarylb.Request) bool {
	if r.Target.Owner == h.self {
		return h.owner.Ring().Offer(endpoint.RequestSubmitted{
			Request: r,
		})
	}
	to, found := h.view.Load().Member(r.Target.Owner)
	if !found {
		return false
	}
	return h.senders.SendRequest(to, r, time.Now(), func(left bool) {
		h.reply(unsent(r, left))
	})
}

// unsent is the outcome of a request that a sender could not send.
func unsent(r rosemarylb.Request, left bool) rosemarylb.Outcome {
	if r.Target.Lease != 0 && !r.Class.MayCommit() {
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonLeaseLost)
	}
	if left && !r.HasNoSideEffects() {
		return rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost)
	}
	return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonUnreachable)
}

// Release implements caller.Fleet.
func (h *hub) Release(id rosemarylb.RequestID, t rosemarylb.Target) {
	v := h.view.Load()
	if t.Owner == h.self || t.Owner == "" {
		h.owner.Ring().Offer(endpoint.SessionEnded{
			ID:       id,
			Endpoint: t.Endpoint,
			Lease:    t.Lease,
		})
		return
	}
	if to, found := v.Member(t.Owner); found {
		h.senders.SendRelease(to, id, t.Endpoint, t.Lease)
	}
}

// Cancel implements caller.Fleet.
func (h *hub) Cancel(id rosemarylb.RequestID, t rosemarylb.Target) {
	if t.Owner == h.self {
		h.owner.Ring().Offer(endpoint.RequestCanceled{
			ID: id,
		})
		return
	}
	if to, found := h.view.Load().Member(t.Owner); found {
		h.senders.SendCancel(to, id, 0, 0)
	}
}

// ForwardCancel implements caller.Fleet.
func (h *hub) ForwardCancel(to rosemarylb.Member, process, secret uint32) {
	h.senders.SendCancel(to, rosemarylb.RequestID{}, process, secret)
}

// reply brings an outcome to the instance that accepted the request.
func (h *hub) reply(o rosemarylb.Outcome) {
	if o.ID.Instance == h.self {
		h.edge.Outcomes().Offer(caller.OutcomeReceived{
			Outcome: o,
		})
		return
	}
	if to, found := h.view.Load().Member(o.ID.Instance); found {
		h.senders.SendAnswer(to, o, time.Now())
	}
}

func (h *hub) announced(p rosemarylb.Primary) {
	h.fleet.Ring().Offer(instance.PrimaryAnnounced{
		Primary: p,
	})
}

func (h *hub) accepted(revision uint64, document []byte) {
	h.fleet.Ring().Offer(instance.DocumentPublished{
		Revision: revision,
		Document: document,
	})
}

func (h *hub) listed(members []rosemarylb.Member) {
	h.fleet.Ring().Offer(instance.MembersListed{
		Members: members,
	})
}

// takeRequest takes a request of another instance.
func (h *hub) takeRequest(from rosemarylb.InstanceID, r rosemarylb.Request) {
	taken := h.owner.Ring().Offer(endpoint.RequestSubmitted{
		Request: r,
	})
	if taken {
		return
	}
	if to, found := h.view.Load().Member(from); found {
		h.senders.SendAnswer(to, rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonOverload), time.Now())
	}
}

// receiver takes what other instances send.
type receiver struct {
	hub *hub
}

// Submit implements instance.Receiver.
func (r receiver) Submit(from rosemarylb.InstanceID, q rosemarylb.Request) {
	r.hub.takeRequest(from, q)
}

// Answer implements instance.Receiver. The edge never waits for the library's
// threads, so waiting for its ring is safe.
func (r receiver) Answer(o rosemarylb.Outcome) {
	r.hub.edge.Outcomes().Put(caller.OutcomeReceived{
		Outcome: o,
	})
}

// Cancel implements instance.Receiver.
func (r receiver) Cancel(id rosemarylb.RequestID, process, secret uint32) {
	if id.Instance != "" {
		r.hub.owner.Ring().Offer(endpoint.RequestCanceled{
			ID: id,
		})
		return
	}
	r.hub.edge.Ring().Offer(caller.CancelRequested{
		Process:   process,
		Secret:    secret,
		Forwarded: true,
	})
}

// Release implements instance.Receiver.
func (r receiver) Release(id rosemarylb.RequestID, e rosemarylb.EndpointID, lease uint64) {
	r.hub.owner.Ring().Offer(endpoint.SessionEnded{
		ID:       id,
		Endpoint: e,
		Lease:    lease,
	})
}

// HandleFleetEvent implements instance.Receiver.
func (r receiver) HandleFleetEvent(e instance.Event) {
	r.hub.fleet.Ring().Offer(e)
}
