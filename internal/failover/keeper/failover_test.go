package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// A replica that is still starting refuses its promotion. If no other replica is
// left, the group stayed without a primary.
func TestOnlyCandidateIsAskedAgainAfterRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newHolder(now)
	var sentAt []time.Time
	for end := now.Add(6 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		k = withSupport(k, supportOf(k, now), now)
		k = k.WithStatus(Status{
			Group:    "g",
			Endpoint: "e1",
			ProbedAt: now,
			Refused:  true,
		})
		k = k.WithStatus(Status{
			Group:       "g",
			Endpoint:    "e2",
			ProbedAt:    now,
			Answered:    true,
			Term:        1,
			LogPosition: rosemarylb.Position{},
		})
		var d Decision
		k, d = k.Decide(now)
		if d.Write != nil {
			k = k.WithWriteConfirmed(version(k.version.Revision+1), now)
		}
		for _, p := range d.Promotions {
			sentAt = append(sentAt, now)
			k = k.WithPromotionOutcome(p, rosemarylb.PromotionRefused, now)
		}
	}
	if len(sentAt) < 2 {
		t.Fatalf("got %d promotions of the only candidate within 6 s, want more than one", len(sentAt))
	}
	if got := sentAt[1].Sub(sentAt[0]); got < promotionRefusalDelay {
		t.Errorf("got the second promotion after %s, want %s or more", got, promotionRefusalDelay)
	}
}

// Two former keepers had each promoted an endpoint without recording it. The next one
// took the first of them for the primary while the second did not answer.
func TestInheritedFailoverEndsOnlyWhereAllOthersAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		silent rosemarylb.EndpointID
		want   rosemarylb.EndpointID
	}{
		"previous primary is silent": {"e1", "e2"},
		"another is silent":          {"e3", ""},
	} {
		k := newHolder(start)
		k = k.WithEndpoints([]rosemarylb.EndpointSpec{
			{ID: "e1", Database: "g"}, {ID: "e2", Database: "g"}, {ID: "e3", Database: "g"},
		})
		k.promoteNotBefore = start.Add(time.Hour)
		k.record = k.record.WithLeadership("g", Leadership{
			Primary:     "e1",
			Term:        1,
			FailingOver: true,
		})
		k.groups = nil
		var got rosemarylb.EndpointID
		for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(100 * time.Millisecond) {
			k, _ = k.Decide(now)
			for _, e := range k.endpoints["g"] {
				k = k.WithStatus(Status{
					Group:    "g",
					Endpoint: e.ID,
					ProbedAt: now.Add(time.Millisecond),
					Answered: e.ID != test.silent,
					Primary:  e.ID == "e2",
					Term:     2,
				})
			}
			if grants, _ := k.Grants(now); len(grants) > 0 {
				got = grants[0].Primary
			}
		}
		if got != test.want {
			t.Errorf("%s: got a grant for %q, want %q", name, got, test.want)
		}
	}
}

// Guards against ONE with sync_replicas: where the number of orders is not known, an endpoint
// was taken for the primary while another, which may lead a later term, did not answer.
func TestInheritedFailoverOfSynchronousGroupAwaitsSilentEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	for silent, want := range map[rosemarylb.EndpointID]bool{
		"e1": true,
		"e3": false,
	} {
		k := newSynchronousHolder(now)
		g := k.groups["g"]
		g.failover = failover{
			startedAt: now,
			reason:    reasonInherited,
			previous: Leadership{
				Primary: "e1",
				Term:    1,
			},
			orders: orders{
				unknown: true,
			},
		}
		for _, e := range k.endpoints["g"] {
			s := endpointState{
				term: 1,
			}
			if e.ID != silent {
				s.probedAt = now.Add(time.Second)
			}
			g = g.withState(e.ID, s)
		}
		if got := k.withGroup("g", g).isLatestPrimary("g", "e2", 2, now.Add(time.Second)); got != want {
			t.Errorf("%s is silent: got e2 taken for the latest primary %t, want %t", silent, got, want)
		}
	}
}
