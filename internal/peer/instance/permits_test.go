package instance

import (
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/quota"

	"google.golang.org/protobuf/proto"
)

// fuzzCatalog returns a configuration in which the team "team" has a quota.
func fuzzCatalog() rosemarylb.Catalog {
	return rosemarylb.Catalog{
		Version: 1,
	}.WithTeams([]rosemarylb.Team{{
		Name:          "team",
		RatePerSecond: 1e300,
		Burst:         1e300,
	}})
}

// TestRequestNamesLastAcceptedAnswer guards against a witness that supports a holder by an
// answer which it received after its promise to ignore that holder.
func TestRequestNamesLastAcceptedAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	pr, reply := sizedFleet(now)
	if got, want := decodeReport(pr.newRequest(now), now).Process, pr.keeperRunner.WitnessProcess(); got != want {
		t.Errorf("got process %d, want %d", got, want)
	}
	supportAfter := func(at time.Time) keeper.Support {
		reply.AnsweredAt = at
		pr.observeAnswer(encodePermitReply(reply, pr.newRequest(now)))
		return decodeReport(pr.newRequest(now), now).Support
	}
	if got := decodeReport(pr.newRequest(now), now).Support; got != (keeper.Support{}) {
		t.Errorf("got support %+v before any answer, want none", got)
	}
	want := keeper.Support{
		Token:      reply.HolderToken,
		AnsweredAt: now.Add(time.Microsecond),
	}
	if got := supportAfter(want.AnsweredAt); got != want {
		t.Errorf("got support %+v, want %+v", got, want)
	}
	if got := supportAfter(time.Time{}); got != want {
		t.Errorf("got support %+v after an answer of an instance without the lease, want %+v", got, want)
	}
	if !pr.keeperRunner.Witness().PromiseToIgnore(reply.HolderToken, now) {
		t.Fatal("got no promise")
	}
	if got := supportAfter(now.Add(time.Second)); got != want {
		t.Errorf("got support %+v after the promise, want %+v as before", got, want)
	}
}

// A message of another instance, whatever it holds, does not end the keeper's or
// the asking process.
func FuzzPermitMessages(f *testing.F) {
	request, err := proto.Marshal(&link.PermitRequest{
		From:        "i1",
		StoreMicros: -1,
		Evidence: []*link.Evidence{{
			Group:          "g",
			Primary:        "e1",
			AnsweredMicros: 1 << 62,
			FailingMicros:  -5,
		}},
	})
	if err != nil {
		f.Fatal(err)
	}
	reply, err := proto.Marshal(&link.PermitReply{
		Keeper:       true,
		PeersVersion: 9,
		PeersSince:   8,
		Permits:      []*link.GrantedPermit{{}},
		Endpoints:    []*link.Endpoint{{}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []proto.Message{
		&link.ReserveRequest{
			Demands: []*link.TeamDemand{{
				Team:           "team",
				Wanted:         1 << 31,
				Waiting:        1 << 31,
				RateMillis:     1 << 63,
				StandingMillis: 1 << 63,
			}},
		},
		&link.ReserveReply{
			Keeper: true,
			Grants: []*link.TeamGrant{{
				Tokens:         1 << 31,
				Held:           1 << 31,
				StandingMillis: 1 << 63,
				RetryMillis:    1 << 31,
			}},
		},
	} {
		seed, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Add(request)
	f.Add(reply)
	now := time.Unix(1000, 0)
	f.Fuzz(func(_ *testing.T, message []byte) {
		var asked link.PermitRequest
		if proto.Unmarshal(message, &asked) == nil {
			decodeIndexed(&asked, now)
			k := keeper.NewKeeper("i0", 1, "a0").WithReport(decodeReport(&asked, now), now)
			k.Decide(now)
		}
		var reserved link.ReserveRequest
		if proto.Unmarshal(message, &reserved) == nil {
			quota.NewLedger(quota.Tenure{}, fuzzCatalog()).WithRequest(decodeReserveRequest(&reserved), now)
		}
		var granted link.ReserveReply
		if proto.Unmarshal(message, &granted) == nil {
			a, _ := quota.NewAllowance("i1", 1).WithCatalog(fuzzCatalog()).WithOperation("team", now)
			a, request, _ := a.WithRequest(now)
			a.WithReply(request.Sequence, decodeReserveReply(&granted), now).WithWaiting("team", now)
		}
		var answered link.PermitReply
		if proto.Unmarshal(message, &answered) == nil {
			_, _, _ = receiveGrants(&answered, permit.NewGrantList(1, decodeGrants(&answered)), 1)
			decodeEndpoints(answered.GetEndpoints())
			_, _ = decodeCatalog(answered.GetCatalog())
		}
		if record, err := keeper.ParseRecord(message); err == nil {
			keeper.NewKeeper("i0", 1, "a0").WithRecord(record, rosemarylb.Version{
				Revision: 1,
			}, now).Decide(now)
		}
	})
}
