package keeper

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// newLargeKeeper returns a holder with reports of the given number of instances on
// 20 groups of three endpoints, and the time of the reports.
func newLargeKeeper(instances int) (Keeper, []Report, time.Time) {
	now := time.Unix(1000, 0)
	var endpoints []rosemarylb.EndpointSpec
	var observations []Observation
	r := Record{}.WithHolder("i0", 1, "a0", rosemarylb.Version{})
	for g := range 20 {
		group := rosemarylb.DatabaseName("g" + strconv.Itoa(g))
		for e := range 3 {
			endpoints = append(endpoints, rosemarylb.EndpointSpec{
				ID:       rosemarylb.EndpointID("e" + strconv.Itoa(g) + "-" + strconv.Itoa(e)),
				Database: group,
			})
		}
		primary := rosemarylb.EndpointID("e" + strconv.Itoa(g) + "-0")
		r = r.WithLeadership(group, Leadership{
			Primary: primary,
			Term:    1,
		})
		observations = append(observations, Observation{
			Group:      group,
			Primary:    primary,
			AnsweredAt: now,
		})
	}
	k := NewKeeper("i0", 1, "a0").WithEndpoints(endpoints)
	k.record = r
	k.recordKnown = true
	k.version = rosemarylb.Version{
		Revision: 1,
	}
	k.token = r.Token
	k.holdsLease = true
	k.leaseUntil = now.Add(time.Hour)
	k.renewAt = now.Add(time.Hour)
	k.confirmedAt = now
	k.lastActiveAt = now
	var reports []Report
	for i := range instances {
		reports = append(reports, Report{
			From:         rosemarylb.InstanceID("i" + strconv.Itoa(i)),
			Observations: observations,
			Support:      supportOf(k, now),
			Peer: rosemarylb.RelayPeer{
				Address: "10.0.0." + strconv.Itoa(i) + ":7440",
				Region:  "r",
			},
		})
		k = k.WithReport(reports[i], now)
	}
	return k.withFleetSummary(now), reports, now
}

var fleetSizes = []int{30, 300, 3000}

// BenchmarkReport measures one request for permits.
func BenchmarkReport(b *testing.B) {
	for _, size := range fleetSizes {
		k, reports, now := newLargeKeeper(size)
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for i := range b.N {
				k = k.WithReport(reports[i%size], now)
				k.Grants(now)
				k.Share(reports[i%size].From)
				k.Peers().UpdateSince(k.Peers().Version())
				k.WatchesStore(reports[i%size].From)
				k.LatestCatalogVersion()
			}
		})
	}
}

// BenchmarkDecide measures one decision.
func BenchmarkDecide(b *testing.B) {
	for _, size := range fleetSizes {
		k, _, now := newLargeKeeper(size)
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for range b.N {
				k, _ = k.Decide(now)
			}
		})
	}
}
