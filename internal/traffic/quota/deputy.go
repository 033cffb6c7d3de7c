package quota

import (
	"cmp"
	"slices"
	"time"

	"rosemarylb"

	"github.com/cespare/xxhash/v2"
)

// deputyInterval is the least time between two requests for tokens to deputies.
const deputyInterval = 20 * time.Millisecond

// Deputies assigns each team to the instance that grants its tokens while the keeper
// does not answer. All instances that know the same peers agree on it, and a peer that
// comes or goes changes few teams. The value is immutable.
type Deputies struct {
	places []deputyPlace
}

// deputyPlace is the place of a peer on the circle of hashes.
type deputyPlace struct {
	hash uint64
	peer rosemarylb.RelayPeer
}

// NewDeputies returns the assignment among peers.
func NewDeputies(peers []rosemarylb.RelayPeer) Deputies {
	var d Deputies
	for _, p := range peers {
		if p.InstanceAddress == "" {
			continue
		}
		d.places = append(d.places, deputyPlace{
			hash: xxhash.Sum64String(p.InstanceAddress),
			peer: p,
		})
	}
	slices.SortFunc(d.places, func(x, y deputyPlace) int {
		return cmp.Compare(x.hash, y.hash)
	})
	return d
}

// For returns the deputy of a team, false if there are no peers.
func (d Deputies) For(team rosemarylb.TeamName) (rosemarylb.RelayPeer, bool) {
	if len(d.places) == 0 {
		return rosemarylb.RelayPeer{}, false
	}
	hash := xxhash.Sum64String(string(team))
	i, _ := slices.BinarySearchFunc(d.places, hash, func(p deputyPlace, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	return d.places[i%len(d.places)].peer, true
}

// WithDeputyTeams sets the teams whose deputy this instance is.
func (a Allowance) WithDeputyTeams(teams []rosemarylb.TeamName) Allowance {
	a.deputyTeams = make(map[rosemarylb.TeamName]struct{}, len(teams))
	for _, team := range teams {
		if !a.limits(team) {
			continue
		}
		a.deputyTeams[team] = struct{}{}
		if _, found := a.balances.Get(string(team)); !found {
			a.balances = a.balances.Set(string(team), &balance{})
		}
		a.wanted = true
	}
	return a
}

// isDeputy reports whether this instance is the deputy of a team.
func (a Allowance) isDeputy(team rosemarylb.TeamName) bool {
	_, found := a.deputyTeams[team]
	return found
}

// WithDeputyRequest answers a request of an instance to the deputy of its teams. Tokens
// are granted out of the standing rates, and only while these are in force here.
func (a Allowance) WithDeputyRequest(demands []Demand, now time.Time) (Allowance, Reply) {
	if !a.isSilent(now) {
		return a, Reply{}
	}
	reply := Reply{
		Answered: true,
	}
	for _, d := range demands {
		var g Grant
		a, g.Tokens = a.withTokensLent(d.Team, d.Wanted, now)
		reply.Grants = append(reply.Grants, g)
	}
	return a, reply
}

// withTokensLent takes up to n operations out of the standing rate of a team.
func (a Allowance) withTokensLent(team rosemarylb.TeamName, n int, now time.Time) (Allowance, int) {
	if !a.isDeputy(team) {
		return a, 0
	}
	b := a.balance(team)
	lent := 0
	for lent < n {
		next, admitted := b.withStandingUsed(now)
		b = next
		if !admitted {
			break
		}
		lent++
	}
	a.balances = a.balances.Set(string(team), &b)
	return a, lent
}

// DeputyDemands returns what the waiting operations need of the deputies of their teams,
// nothing unless the keeper is silent.
func (a Allowance) DeputyDemands(now time.Time) []Demand {
	if a.waiting == 0 || !a.isSilent(now) || now.Before(a.askDeputiesAt) {
		return nil
	}
	var demands []Demand
	for i := a.balances.Iterator(); !i.Done(); {
		name, b, _ := i.Next()
		if team := rosemarylb.TeamName(name); b.waiting > 0 && !a.isDeputy(team) {
			demands = append(demands, Demand{
				Team:    team,
				Wanted:  b.waiting,
				Waiting: b.waiting,
			})
		}
	}
	return demands
}

// WithDeputiesAsked records that deputies are asked now.
func (a Allowance) WithDeputiesAsked(now time.Time) Allowance {
	a.askDeputiesAt = now.Add(deputyInterval)
	return a
}

// WithDeputyReply applies the reply of a deputy to a request that was sent at a time.
func (a Allowance) WithDeputyReply(demands []Demand, r Reply, sentAt, now time.Time) Allowance {
	if !r.Answered || len(r.Grants) != len(demands) {
		return a
	}
	for i, d := range demands {
		b := a.balance(d.Team).withTokens(r.Grants[i].Tokens, sentAt, now)
		a.balances = a.balances.Set(string(d.Team), &b)
	}
	return a
}
