package instance

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/process/clock"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/proxy"

	"google.golang.org/protobuf/proto"
)

// sizedFleet returns a requester and a keeper's reply of a fleet with 8 groups, in
// which all primaries answer.
func sizedFleet(now time.Time) (*PermitRequester, keeperduty.PermitReply) {
	var observations []proxy.Observation
	reply := keeperduty.PermitReply{
		IsHolder: true,
		Share: rosemarylb.ConnectionShare{
			Members: 80,
			Index:   41,
		},
		HolderAddress:    "10.21.14.103:7203",
		HolderToken:      12,
		AnsweredAt:       now,
		SendsChanges:     true,
		CatalogVersion:   31,
		EndpointsVersion: 1<<63 + 5,
	}
	for i := range 8 {
		group := rosemarylb.DatabaseName(fmt.Sprintf("inventory-%d", i))
		primary := rosemarylb.EndpointID(fmt.Sprintf("i-a851646f9%d", i))
		observations = append(observations, proxy.Observation{
			Group:      group,
			Primary:    primary,
			AnsweredAt: now.Add(-time.Duration(7+9*i) * time.Millisecond),
		})
		reply.Grants = append(reply.Grants, keeper.Grant{
			Group:   group,
			Primary: primary,
			Term:    4,
			Position: rosemarylb.Position{
				Term: 4,
				LSN:  rosemarylb.LSN(1_200_000 + i),
			},
			PositionMicros: int64(100_000 + 40_000*i),
		})
	}
	for i := range 24 {
		reply.Endpoints = append(reply.Endpoints, rosemarylb.EndpointSpec{
			ID:    rosemarylb.EndpointID(fmt.Sprintf("i-%d", i)),
			Slots: 4,
		})
		reply.Loads = append(reply.Loads, rosemarylb.EndpointLoad{
			Busy:        i % 5,
			Connections: 3 * i,
			ObservedAt:  now.Add(-time.Duration(40*i) * time.Millisecond),
		})
	}
	reply.LoadsVersion = 4321
	list := permit.NewGrantList(reply.HolderToken, reply.Grants)
	reply.Grants, reply.GrantsVersion = list.WithPositions(reply.Grants), list.Version()
	return &PermitRequester{
		keeperToken:  reply.HolderToken,
		keeperRunner: keeperduty.NewRunner(keeper.NewKeeper("front-r1-a-07", 1, ""), clock.BootTime{}),
		proxyRing:    duty.NewRing[proxy.Event]("proxy", 64),
		log:          slog.New(slog.DiscardHandler),
		self:         "front-r1-a-07",
		address:      "10.21.14.17:7203",
		relayPeer: rosemarylb.RelayPeer{
			Address: "10.21.14.17:7440",
			Region:  "north-1",
			Domain:  "north-1-a",
		},
		capacity:         192,
		peersVersion:     12<<32 + 80,
		endpointsVersion: reply.EndpointsVersion,
		storeAnsweredAt:  duty.NewLatest(now.Add(-3 * time.Second)),
		proxyStatus: duty.NewLatest(proxy.Status{
			CatalogVersion: 31,
			Observations:   observations,
		}),
		catalogs: catalogExchange{
			current: duty.NewLatest(rosemarylb.Catalog{}),
		},
	}, reply
}

// Control traffic is a large part of the bytes between domains; a request and a reply
// that carry nothing new stay small.
func TestControlMessageSizes(t *testing.T) {
	const maxBytes = 150
	now := time.Unix(1000, 0)
	pr, reply := sizedFleet(now)
	first := encodePermitReply(reply, pr.newRequest(now))
	t.Logf("with names: request %d bytes, reply %d bytes", proto.Size(pr.newRequest(now)), proto.Size(first))
	pr.applyGrants(first, now)
	pr.observeAnswer(first)
	request := pr.newRequest(now)
	again := encodePermitReply(reply, request)
	t.Logf("with places: request %d bytes, reply %d bytes", proto.Size(request), proto.Size(again))
	if got := proto.Size(request); got >= maxBytes {
		t.Errorf("got a request of %d bytes, want less than %d", got, maxBytes)
	}
	if got := proto.Size(again); got >= maxBytes {
		t.Errorf("got a reply of %d bytes, want less than %d", got, maxBytes)
	}
}

// An instance that the store rejects depends on configurations that fit into a reply.
func TestCatalogSizes(t *testing.T) {
	for _, count := range []int{82, 10_000} {
		c := testCatalog(uint64(count))
		for i := range 24 {
			name := fmt.Sprintf("route-%d", i)
			c.Routes[name] = rosemarylb.Route{
				Database:      name,
				Group:         rosemarylb.DatabaseName(fmt.Sprintf("inventory-%d", i%8)),
				TimeoutMillis: 900,
			}
		}
		var teams []rosemarylb.Team
		for i := range count {
			teams = append(teams, rosemarylb.Team{
				Name:          rosemarylb.TeamName(fmt.Sprintf("team-%d", i)),
				Keys:          []rosemarylb.KeyDigest{rosemarylb.NewKeyDigest(fmt.Sprintf("key-%d", i))},
				RatePerSecond: float64(i) / 3,
				Burst:         float64(i),
				Priority:      1,
			})
		}
		e := &catalogEncoder{}
		got := len(e.encode(c.WithTeams(teams)))
		t.Logf("%d teams: %d bytes", count, got)
		if got == 0 {
			t.Errorf("%d teams: got no configuration, want one that fits into a reply", count)
		}
	}
}
