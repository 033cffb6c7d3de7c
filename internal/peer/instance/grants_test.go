package instance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/proxy"
)

// randomGrants returns grants of some of a few groups. Few names and terms make lists
// that differ in one place only.
func randomGrants(random *rand.Rand) []keeper.Grant {
	var grants []keeper.Grant
	for i := range 4 {
		if random.IntN(4) == 0 {
			continue
		}
		g := keeper.Grant{
			Group:   rosemarylb.DatabaseName(fmt.Sprintf("g%d", i)),
			Primary: rosemarylb.EndpointID(fmt.Sprintf("e%d-%d", i, random.IntN(2))),
			Term:    rosemarylb.Term(1 + random.IntN(2)),
		}
		if random.IntN(3) > 0 {
			g.Position = rosemarylb.Position{
				Term: rosemarylb.Term(1 + random.IntN(2)),
				LSN:  rosemarylb.LSN(random.IntN(3)),
			}
			g.PositionMicros = random.Int64N(1000)
		}
		grants = append(grants, g)
	}
	return grants
}

// An instance must never apply a grant to another group, primary or term than the holder
// named, whatever lists it has had and whichever holder answers.
func TestGrantsByPlaceAreThoseOfTheHolder(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var known permit.GrantList
	var replies []keeperduty.PermitReply
	byPlace, refused := 0, 0
	for range 20_000 {
		if len(replies) == 0 || random.IntN(3) == 0 {
			token := uint64(1 + random.IntN(3))
			grants := randomGrants(random)
			list := permit.NewGrantList(token, grants)
			replies = append(replies, keeperduty.PermitReply{
				IsHolder:      true,
				Grants:        list.WithPositions(grants),
				GrantsVersion: list.Version(),
				HolderToken:   token,
			})
		}
		// A former reply stands for a holder that does not know of the latest changes.
		reply := replies[max(len(replies)-1-random.IntN(3), 0)]
		encoded := encodePermitReply(reply, &link.PermitRequest{
			GrantsVersion: known.Version(),
		})
		asked := known
		if random.IntN(8) == 0 {
			// The instance has lost its list, or has another one, since it asked.
			known = permit.NewGrantList(1, randomGrants(random))
		}
		got, list, err := receiveGrants(encoded, known, reply.HolderToken)
		known = list
		if encoded.GetSameGrants() {
			byPlace++
		}
		if err != nil {
			refused++
			continue
		}
		if len(got) != len(reply.Grants) || len(got) > 0 && !reflect.DeepEqual(got, reply.Grants) {
			t.Fatalf("got %+v, want %+v (asked with %d)", got, reply.Grants, asked.Version())
		}
	}
	if byPlace < 100 || refused < 10 {
		t.Errorf("got %d replies by place and %d refused, want both to occur", byPlace, refused)
	}
}

// Observations of primaries that are not in the list, or sent to another holder than the
// one of the list, are sent by name.
func TestObservationsByPlaceOrName(t *testing.T) {
	now := time.Unix(100, 0)
	list := permit.NewGrantList(3, []keeper.Grant{
		{Group: "a", Primary: "e1", Term: 1},
		{Group: "b", Primary: "e2", Term: 1},
	})
	observations := []proxy.Observation{
		{Group: "a", Primary: "e0", AnsweredAt: now.Add(-time.Second)},
		{Group: "b", Primary: "e2", FirstFailureAt: now.Add(-time.Millisecond)},
		{Group: "c"},
	}
	request := &link.PermitRequest{}
	encodeObservations(request, observations, list, 3, now)
	indexed := decodeIndexed(request, now)
	if len(indexed) != 1 || indexed[0].Place != 1 || !indexed[0].FirstFailureAt.Equal(observations[1].FirstFailureAt) {
		t.Errorf("got %+v, want the failure of b at place 1", indexed)
	}
	if len(request.GetEvidence()) != 1 || request.GetEvidence()[0].GetPrimary() != "e0" {
		t.Errorf("got %v by name, want e0 alone", request.GetEvidence())
	}
	request = &link.PermitRequest{}
	encodeObservations(request, observations, list, 4, now)
	if len(request.GetEvidence()) != 2 || request.GetGrantsVersion() != 0 || len(request.GetAnsweredMicros()) != 0 {
		t.Errorf("got %v for another holder, want names only", request)
	}
}
