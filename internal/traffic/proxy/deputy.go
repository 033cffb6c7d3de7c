package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/quota"
)

// deputyBackoff is how long a deputy that did not answer is not asked again.
const deputyBackoff = 300 * time.Millisecond

// DeputyRequest asks the deputy of teams for tokens. It is answered with DeputyReplied.
type DeputyRequest struct {
	// Address is the host:port of the deputy for other instances.
	Address string
	// Demands are the tokens wanted.
	Demands []quota.Demand
	// SentAt is a time before the request is sent.
	SentAt time.Time
}

// DeputyReplied carries the reply of a deputy.
type DeputyReplied struct {
	// Request is the request.
	Request DeputyRequest
	// Reply is the reply, the zero value if there was none.
	Reply quota.Reply
}

// DeputyRequested is the request of another instance to this one as the deputy of teams.
type DeputyRequested struct {
	// Demands are the tokens wanted.
	Demands []quota.Demand
	// Reply receives the reply and has to have a place for it.
	Reply chan<- quota.Reply
}

// DeputyRequests returns the ring of requests to deputies.
func (p *Proxy) DeputyRequests() *duty.Ring[DeputyRequest] {
	return p.quotas.deputyRequests
}

// updateDeputies assigns the teams to deputies again.
func (p *Proxy) updateDeputies() {
	p.quotas.deputies = quota.NewDeputies(p.peers)
	var own []rosemarylb.TeamName
	for t := range p.catalog.Teams() {
		if peer, found := p.quotas.deputies.For(t.Name); found && peer.Address == p.address {
			own = append(own, t.Name)
		}
	}
	p.quotas.allowance = p.quotas.allowance.WithDeputyTeams(own)
}

// askDeputy sends the waiting operations of the teams of one deputy to it. One request
// is in flight at a time.
func (p *Proxy) askDeputy(now time.Time) {
	if p.quotas.askingDeputy {
		return
	}
	demands := p.quotas.allowance.DeputyDemands(now)
	request := DeputyRequest{
		SentAt: now,
	}
	for _, d := range demands {
		peer, found := p.quotas.deputies.For(d.Team)
		if !found || now.Before(p.quotas.silentDeputies[peer.InstanceAddress]) {
			continue
		}
		if request.Address == "" {
			request.Address = peer.InstanceAddress
		}
		if request.Address == peer.InstanceAddress {
			request.Demands = append(request.Demands, d)
		}
	}
	if request.Address == "" || !p.quotas.deputyRequests.Offer(request) {
		return
	}
	p.quotas.askingDeputy = true
}

func (p *Proxy) applyDeputyReply(e DeputyReplied, now time.Time) {
	p.quotas.askingDeputy = false
	if !e.Reply.Answered {
		p.quotas.silentDeputies[e.Request.Address] = now.Add(deputyBackoff)
	}
	p.quotas.allowance = p.quotas.allowance.WithDeputiesAsked(now).
		WithDeputyReply(e.Request.Demands, e.Reply, e.Request.SentAt, now)
	p.decideWaiting(now)
}

func (p *Proxy) answerDeputyRequest(e DeputyRequested, now time.Time) {
	var reply quota.Reply
	p.quotas.allowance, reply = p.quotas.allowance.WithDeputyRequest(e.Demands, now)
	e.Reply <- reply
}
