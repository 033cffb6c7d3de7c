package keeperduty

import (
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

// A failure that an instance observed must not be taken for one of another primary, when
// the list has changed since the instance received it.
func TestObservationsResolveByTheirOwnList(t *testing.T) {
	grant := func(group rosemarylb.DatabaseName, primary rosemarylb.EndpointID) keeper.Grant {
		return keeper.Grant{
			Group:   group,
			Primary: primary,
			Term:    1,
		}
	}
	var lists grantLists
	lists = lists.withGrants(5, []keeper.Grant{grant("b", "e2"), grant("a", "e1")})
	former := lists.version()
	if again := lists.withGrants(5, []keeper.Grant{grant("a", "e1"), grant("b", "e2")}); len(again.lists) != 1 {
		t.Errorf("got %d lists for the same content, want 1", len(again.lists))
	}
	lists = lists.withGrants(5, []keeper.Grant{grant("b", "e3")})
	failing := []IndexedObservation{
		{Place: 1, FirstFailureAt: time.Unix(100, 0)},
		{Place: 2, FirstFailureAt: time.Unix(100, 0)},
	}
	got := lists.resolve(former, failing)
	if len(got) != 1 || got[0].Group != "b" || got[0].Primary != "e2" {
		t.Errorf("got %+v, want e2 of b", got)
	}
	if got := lists.resolve(former+1, failing); got != nil {
		t.Errorf("got %+v for an unknown version, want none", got)
	}
	for range maxGrantLists {
		lists = lists.withGrants(6, nil).withGrants(7, nil)
	}
	if got := lists.resolve(former, failing); got != nil {
		t.Errorf("got %+v for an expired version, want none", got)
	}
}
