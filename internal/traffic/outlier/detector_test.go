package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosemarylb"
)

var start = time.Unix(100, 0)

// fault is how an endpoint behaves in a simulation.
type fault struct {
	failures float64
	latency  time.Duration
}

// simulation sends 50 requests a second to a group, by the weights of the detector.
type simulation struct {
	random   *rand.Rand
	detector Detector
	now      time.Time
	faults   []fault
	received []int
	failed   int
}

func newSimulation(faults ...fault) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(1, 5)),
		now:    start,
		faults: faults,
	}
}

func name(n int) rosemarylb.EndpointID {
	return rosemarylb.EndpointID(fmt.Sprintf("endpoint-%d", n))
}

func (s *simulation) run(span time.Duration) {
	s.received, s.failed = make([]int, len(s.faults)), 0
	for until := s.now.Add(span); s.now.Before(until); s.now = s.now.Add(20 * time.Millisecond) {
		weights, total := make([]float64, len(s.faults)), 0.0
		for n := range s.faults {
			weights[n] = s.detector.Weight(name(n), s.now)
			total += weights[n]
		}
		drawn, n := s.random.Float64()*total, 0
		for drawn >= weights[n] {
			drawn -= weights[n]
			n++
		}
		failed := s.random.Float64() < s.faults[n].failures
		s.received[n]++
		if failed {
			s.failed++
		}
		latency := max(s.faults[n].latency, time.Duration(s.random.ExpFloat64()*float64(10*time.Millisecond)))
		s.detector = s.detector.WithOutcome(name(n), Outcome{
			Failed:     failed,
			ReceivedAt: s.now.Add(-latency),
		}, s.now)
	}
}

func (s *simulation) outCount() int {
	return s.detector.outCount()
}

func TestOutliersAreEjected(t *testing.T) {
	healthy := fault{}
	for _, c := range []struct {
		name   string
		faults []fault
		want   int
	}{
		{"healthy group", []fault{healthy, healthy, healthy}, 0},
		{"failing all", []fault{{failures: 1}, healthy, healthy}, 1},
		{"failing part", []fault{{failures: 0.4}, healthy, healthy}, 1},
		{"slow", []fault{{latency: 200 * time.Millisecond}, healthy, healthy}, 1},
		{"rare failures", []fault{{failures: 0.02}, healthy, healthy}, 0},
		{"failures of the whole group", []fault{{failures: 0.3}, {failures: 0.3}, {failures: 0.3}}, 0},
		{"group of two", []fault{{failures: 1}, healthy}, 0},
		{"two of three", []fault{{failures: 1}, {failures: 1}, healthy}, 1},
		{"three of six", []fault{{failures: 1}, {failures: 1}, {failures: 1}, healthy, healthy, healthy}, 2},
	} {
		s := newSimulation(c.faults...)
		s.run(10 * time.Second)
		if got := s.outCount(); got != c.want {
			t.Errorf("%s: got %d ejected, want %d", c.name, got, c.want)
		}
	}
}

func TestEndpointThatStopsIsEjectedSoon(t *testing.T) {
	// Its successes of the last seconds must not hide the failures.
	s := newSimulation(fault{}, fault{}, fault{})
	s.run(10 * time.Second)
	s.faults[0] = fault{
		failures: 1,
	}
	s.run(time.Second)
	if got, want := s.failed, 5; got != want {
		t.Errorf("got %d failed requests, want %d", got, want)
	}
}

func TestEjectionsGrowAndProbesAreFew(t *testing.T) {
	s := newSimulation(fault{failures: 1}, fault{}, fault{})
	s.run(time.Minute)
	// Six ejections of 1 to 32 s, each ended by a failed probe, after the first failures.
	if got, want := s.received[0], 5+2*6; got > want {
		t.Errorf("got %d requests to the failing endpoint in a minute, want at most %d", got, want)
	}
}

func TestEndpointReturnsWithSlowStart(t *testing.T) {
	s := newSimulation(fault{failures: 1}, fault{}, fault{})
	s.run(5 * time.Second)
	s.faults[0] = fault{}
	for s.detector.State(name(0), s.now) != StateWarming {
		s.run(100 * time.Millisecond)
		if s.now.Sub(start) > time.Minute {
			t.Fatal("got no return within a minute, want one")
		}
	}
	if got := s.detector.Weight(name(0), s.now); got > 0.2 {
		t.Errorf("got weight %.2f at the return, want at most 0.2", got)
	}
	s.run(slowStart)
	if got, want := s.detector.Weight(name(0), s.now), 1.0; got != want {
		t.Errorf("got weight %.2f after the slow start, want %.2f", got, want)
	}
}

func TestColdEndpointGetsFewRequestsAndIsNotEjectedForItsLatency(t *testing.T) {
	s := newSimulation(fault{latency: 300 * time.Millisecond}, fault{}, fault{})
	s.detector = s.detector.WithStart(name(0), s.now.Add(10*time.Second), s.now)
	s.run(4 * time.Second)
	if got, want := s.detector.State(name(0), s.now), StateWarming; got != want {
		t.Errorf("got state %s, want %s", got, want)
	}
	if got, want := s.received[0], s.received[1]/2; got > want {
		t.Errorf("got %d requests to the cold endpoint, want at most %d", got, want)
	}
}

func TestSmallerGroupTakesEjectedEndpointBack(t *testing.T) {
	s := newSimulation(fault{failures: 1}, fault{}, fault{})
	s.run(5 * time.Second)
	d := s.detector.WithoutEndpoint(name(2), s.now)
	if got := d.Weight(name(0), s.now); got == 0 {
		t.Error("got weight 0 in a group of two, want more")
	}
}

func BenchmarkWithOutcome(b *testing.B) {
	s := newSimulation(make([]fault, 20)...)
	s.run(10 * time.Second)
	for b.Loop() {
		s.detector = s.detector.WithOutcome(name(3), Outcome{
			ReceivedAt: s.now,
		}, s.now)
	}
}
