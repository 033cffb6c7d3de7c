package instance

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/proxy"

	"github.com/cockroachdb/errors"
)

// errUnknownGrants is returned for a reply that refers to a list of grants which the
// instance does not have.
var errUnknownGrants = errors.New("unknown list of grants")

func encodeGrants(grants []keeper.Grant) []*link.GrantedPermit {
	var encoded []*link.GrantedPermit
	for _, g := range grants {
		p := &link.GrantedPermit{
			Group:   string(g.Group),
			Primary: string(g.Primary),
			Term:    uint64(g.Term),
		}
		if !g.Position.IsZero() {
			p.Position = encodePosition(g.Position)
			p.PositionMicros = g.PositionMicros
		}
		encoded = append(encoded, p)
	}
	return encoded
}

func decodeGrants(r *link.PermitReply) []keeper.Grant {
	var grants []keeper.Grant
	for _, p := range r.GetPermits() {
		g := keeper.Grant{
			Group:          rosemarylb.DatabaseName(p.GetGroup()),
			Primary:        rosemarylb.EndpointID(p.GetPrimary()),
			Term:           rosemarylb.Term(p.GetTerm()),
			PositionMicros: p.GetPositionMicros(),
		}
		if p.GetPosition() != nil {
			g.Position = decodePosition(p.GetPosition())
		}
		grants = append(grants, g)
	}
	return grants
}

// encodePositions encodes the positions of grants by their places. Terms are encoded
// only if one differs from that of its grant.
func encodePositions(reply *link.PermitReply, grants []keeper.Grant) {
	termsDiffer := false
	for _, g := range grants {
		if g.Position.IsZero() {
			reply.Positions = append(reply.Positions, 0)
			reply.PositionTerms = append(reply.PositionTerms, 0)
			reply.PositionAges = append(reply.PositionAges, 0)
			continue
		}
		offset := int64(g.Position.Term - g.Term)
		termsDiffer = termsDiffer || offset != 0
		reply.Positions = append(reply.Positions, uint64(g.Position.LSN)+1)
		reply.PositionTerms = append(reply.PositionTerms, offset)
		reply.PositionAges = append(reply.PositionAges, uint64(max(g.PositionMicros, 0)))
	}
	if !termsDiffer {
		reply.PositionTerms = nil
	}
}

// receiveGrants returns the grants of a holder's reply and the list of grants to name in
// the next request to that holder. It returns errUnknownGrants, and no grants, if the
// reply refers to another list than the known one or has more positions than that.
func receiveGrants(
	reply *link.PermitReply, known permit.GrantList, token uint64,
) ([]keeper.Grant, permit.GrantList, error) {
	if !reply.GetSameGrants() {
		grants := decodeGrants(reply)
		list := permit.NewGrantList(token, grants)
		if list.Version() != reply.GetGrantsVersion() {
			// An instance that does not know of lists, or a holder that has changed its
			// token since the request was sent.
			list = permit.GrantList{}
		}
		return grants, list, nil
	}
	terms, ages := reply.GetPositionTerms(), reply.GetPositionAges()
	if known.Version() == 0 || known.Version() != reply.GetGrantsVersion() ||
		len(reply.GetPositions()) > len(known.Grants()) || len(ages) != len(reply.GetPositions()) ||
		len(terms) != 0 && len(terms) != len(ages) {
		return nil, permit.GrantList{}, errUnknownGrants
	}
	grants := known.WithPositions(nil)
	for place, position := range reply.GetPositions() {
		if position == 0 {
			continue
		}
		term := grants[place].Term
		if len(terms) != 0 {
			term += rosemarylb.Term(terms[place])
		}
		grants[place].Position = rosemarylb.Position{
			Term: term,
			LSN:  rosemarylb.LSN(position - 1),
		}
		grants[place].PositionMicros = int64(ages[place])
	}
	return grants, known, nil
}

// encodeObservations adds the observations of primaries to a request: by place for those
// in the list of grants that the holder of the token has sent, by name for others.
// Observations without an answer or a failure are left out.
func encodeObservations(
	request *link.PermitRequest, observations []proxy.Observation, list permit.GrantList, token uint64, now time.Time,
) {
	if list.Token() != token {
		list = permit.GrantList{}
	}
	request.GrantsVersion = list.Version()
	for _, o := range observations {
		if o.AnsweredAt.IsZero() && o.FirstFailureAt.IsZero() {
			continue
		}
		answered, failing := microsSince(o.AnsweredAt, now), microsSince(o.FirstFailureAt, now)
		place, found := list.Place(o.Group)
		if found && list.Grants()[place].Primary == o.Primary {
			request.AnsweredMicros = withValue(request.GetAnsweredMicros(), place, uint64(answered+1))
			if failing >= 0 {
				request.FailingMicros = withValue(request.GetFailingMicros(), place, uint64(failing+1))
			}
			continue
		}
		request.Evidence = append(request.Evidence, &link.Evidence{
			Group:          string(o.Group),
			Primary:        string(o.Primary),
			AnsweredMicros: answered,
			FailingMicros:  failing,
		})
	}
}

// withValue sets the value at a place and extends the slice to it if necessary.
func withValue(values []uint64, place int, value uint64) []uint64 {
	for len(values) <= place {
		values = append(values, 0)
	}
	values[place] = value
	return values
}
