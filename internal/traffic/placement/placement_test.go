package placement

import (
	"fmt"
	"testing"

	"rosemarylb"
)

func newMembers(count int) []rosemarylb.Member {
	var members []rosemarylb.Member
	for n := range count {
		members = append(members, rosemarylb.Member{
			ID:     rosemarylb.InstanceID(fmt.Sprintf("proxy-%d", n)),
			Domain: rosemarylb.DomainName(fmt.Sprintf("domain-%d", n%18)),
			Region: rosemarylb.RegionName(fmt.Sprintf("region-%d", n%6)),
		})
	}
	return members
}

func newEndpoint(n int) rosemarylb.EndpointSpec {
	return rosemarylb.EndpointSpec{
		ID:     rosemarylb.EndpointID(fmt.Sprintf("endpoint-%d", n)),
		Domain: rosemarylb.DomainName(fmt.Sprintf("domain-%d", n%18)),
		Region: rosemarylb.RegionName(fmt.Sprintf("region-%d", n%6)),
	}
}

func TestMemberLossMovesOnlyItsEndpoints(t *testing.T) {
	p := NewRendezvous()
	members := newMembers(90)
	without := append([]rosemarylb.Member(nil), members...)
	without[7] = without[7].WithStatus(rosemarylb.MemberDead)
	for n := range 500 {
		before, _ := p.Owner(members, newEndpoint(n))
		after, _ := p.Owner(without, newEndpoint(n))
		if before.ID != members[7].ID && after.ID != before.ID {
			t.Errorf("endpoint %d: got owner %s, want it unchanged: %s", n, after.ID, before.ID)
		}
		if got, want := before.Domain, newEndpoint(n).Domain; got != want {
			t.Errorf("endpoint %d: got an owner in %s, want one in %s", n, got, want)
		}
	}
}

func TestCachedMatchesRendezvousAfterMemberChange(t *testing.T) {
	plain, cached := NewRendezvous(), NewCached(NewRendezvous())
	members := newMembers(90)
	for _, list := range [][]rosemarylb.Member{members, members, append([]rosemarylb.Member(nil), members[1:]...)} {
		for n := range 50 {
			got, _ := cached.Owner(list, newEndpoint(n))
			if want, _ := plain.Owner(list, newEndpoint(n)); got != want {
				t.Errorf("endpoint %d: got %s, want %s", n, got.ID, want.ID)
			}
		}
	}
}

func BenchmarkOwner(b *testing.B) {
	members := newMembers(2800)
	for name, p := range map[string]rosemarylb.Placement{
		"rendezvous": NewRendezvous(),
		"cached":     NewCached(NewRendezvous()),
	} {
		b.Run(name, func(b *testing.B) {
			for n := 0; b.Loop(); n++ {
				p.Owner(members, newEndpoint(n%20))
			}
		})
	}
}
