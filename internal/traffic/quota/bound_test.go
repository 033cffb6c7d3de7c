package quota

import (
	"testing"
	"time"

	"rosemarylb"
)

func newTeam(name rosemarylb.TeamName, rate, burst float64) rosemarylb.Team {
	return rosemarylb.Team{
		Name:          name,
		RatePerSecond: rate,
		Burst:         burst,
	}
}

// TestBoundHoldsInEveryWindow guards against operations beyond a quota, with faults of
// all kinds and load far beyond the limits.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	for n := range *modelCount {
		seed := *modelSeed + uint64(n)
		teams := []rosemarylb.Team{newTeam("large", 300, 200), newTeam("small", 20, 10), newTeam("bursty", 20, 400)}
		tolerance := Tolerance{}
		if n%2 == 1 {
			tolerance = Tolerance{
				Overage: 0.1,
				Slack:   20,
			}
		}
		m := newTolerantModel(t, tolerance, seed, 3+int(seed%5), teams...)
		m.disturbed = true
		for _, team := range teams {
			factor := 2.0
			m.load(team, func() float64 {
				if m.random.IntN(500) == 0 {
					factor = 0.2 + 4*m.random.Float64()
				}
				return factor
			}, m.anyInstance)
		}
		m.after(time.Second, m.disturb)
		m.run(60 * time.Second)
		m.checkBound()
	}
}

// TestNothingWithinTheLimitIsRefused guards against refusals of operations that a
// bucket of the team's rate and burst would admit, while the keeper answers.
func TestNothingWithinTheLimitIsRefused(t *testing.T) {
	for n := range *modelCount {
		seed := *modelSeed + uint64(n)
		team := newTeam("team", []float64{2, 20, 300}[seed%3], []float64{5, 60, 600}[seed/3%3])
		m := newModel(t, seed, 6, team)
		pick := m.anyInstance
		if seed%2 == 0 {
			pick = func() *modelInstance { return m.instances[0] }
		}
		m.run(3 * time.Second)
		credit, at := 1.0, m.now
		var next func()
		next = func() {
			credit = min(credit+team.RatePerSecond*m.now.Sub(at).Seconds(), team.Burst)
			at = m.now
			for pause := m.random.IntN(30) == 0; credit >= 1 && !pause; pause = m.random.IntN(8) == 0 {
				credit--
				m.arrive(pick(), team.Name)
			}
			m.after(m.between(1, int(2000/team.RatePerSecond)+1), next)
		}
		next()
		m.run(15 * time.Second)
		if m.refused > 0 {
			t.Errorf("seed %d: got %d of %d operations refused, want none", seed, m.refused, len(m.ran["team"])+m.refused)
		}
		m.checkBound()
	}
}

// TestHandOverRefusesNothingAtHalfLoad guards against refusals by a keeper whose
// buckets are empty because it has just taken the lease.
func TestHandOverRefusesNothingAtHalfLoad(t *testing.T) {
	for n := range *modelCount {
		team := newTeam("team", 100, 100)
		m := newModel(t, *modelSeed+uint64(n), 6, team)
		m.load(team, func() float64 { return 0.5 }, m.anyInstance)
		m.run(5 * time.Second)
		m.handOver(n%2 == 0)
		m.run(8 * time.Second)
		if m.refused > 0 {
			t.Errorf("seed %d: got %d of %d operations refused, want none", m.seed, m.refused, len(m.ran["team"])+m.refused)
		}
		m.checkBound()
	}
}

// TestToleranceServesSteadyExcess guards against refusing what operators tolerate: a team
// that steadily asks for a little more than its rate.
func TestToleranceServesSteadyExcess(t *testing.T) {
	team := newTeam("team", 35, 35)
	m := newTolerantModel(t, Tolerance{
		Overage: 0.1,
		Slack:   20,
	}, 1, 20, team)
	m.load(team, func() float64 { return 1.25 }, m.anyInstance)
	m.run(30 * time.Second)
	if got, want := m.refused, len(m.ran["team"])/20; got > want {
		t.Errorf("got %d operations refused beside %d that ran, want at most %d", got, len(m.ran["team"]), want)
	}
	m.checkBound()
}

// TestRefusalsComeAtOnce guards against an overloaded team whose operations wait for
// MaxWait in place of being refused, and against tokens left unused meanwhile.
func TestRefusalsComeAtOnce(t *testing.T) {
	team := newTeam("team", 200, 100)
	m := newModel(t, 1, 5, team)
	m.load(team, func() float64 { return 5 }, m.anyInstance)
	m.run(8 * time.Second)
	ran := len(m.ran["team"])
	longest := time.Duration(0)
	for range 1000 {
		m.run(10 * time.Millisecond)
		for _, i := range m.instances {
			for _, at := range i.waiting["team"] {
				longest = max(longest, m.now.Sub(at))
			}
		}
	}
	if longest > time.Second {
		t.Errorf("got an operation that waited for %s, want a refusal within 1s", longest)
	}
	if got := len(m.ran["team"]) - ran; got < 1900 {
		t.Errorf("got %d operations in 10 s, want nearly 2000", got)
	}
}

// TestStandingRateServesWithoutKeeper guards against instances that serve nothing, or
// more than the bound, while no keeper answers.
func TestStandingRateServesWithoutKeeper(t *testing.T) {
	team := newTeam("team", 100, 20)
	m := newModel(t, 1, 4, team)
	m.load(team, func() float64 { return 0.8 }, m.anyInstance)
	m.run(10 * time.Second)
	ran := len(m.ran["team"])
	m.keeper.endsAt = m.now
	m.run(3 * time.Second)
	if got := len(m.ran["team"]) - ran; got < 140 || got > 250 {
		t.Errorf("got %d operations in 3 s without a keeper, want 140 to 250", got)
	}
	m.checkBound()
}
