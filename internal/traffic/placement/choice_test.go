package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(100, 0)

func TestChooseRespectsWeightsAndMargin(t *testing.T) {
	const margin = 20 * time.Millisecond
	near := Candidate{
		FinishAt: start.Add(10 * time.Millisecond),
		Weight:   1,
	}
	far := Candidate{
		FinishAt: start.Add(60 * time.Millisecond),
		Weight:   1,
	}
	ejected := Candidate{
		FinishAt: start,
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		first, second := random.Float64(), random.Float64()
		for _, c := range []struct {
			candidates []Candidate
			want       int
		}{
			{[]Candidate{far, near}, 1},
			{[]Candidate{ejected, far}, 1},
			{[]Candidate{ejected}, -1},
			{nil, -1},
		} {
			if got := Choose(c.candidates, margin, first, second); got != c.want {
				t.Fatalf("got %d of %+v, want %d", got, c.candidates, c.want)
			}
		}
	}
}

func TestInstancesWithOldKnowledgeSpreadTheirRequests(t *testing.T) {
	// 80 instances send 300 reads a second in total to 3 endpoints with 4 slots. Each
	// knows the load of 120 ms ago and its own requests. If all chose the best endpoint,
	// the queue would move from one to the next.
	const (
		instances = 80
		slots     = 4
		service   = 18 * time.Millisecond
		step      = time.Millisecond
		steps     = 30_000
		reportAge = 120
		perSecond = 300.0
	)
	type request struct {
		instance int
		left     int
	}
	random := rand.New(rand.NewPCG(1, 1))
	var queues [3][]request
	var known, served [3]int
	deepest := 0
	for n := range steps {
		now := start.Add(time.Duration(n) * step)
		for e := range queues {
			if n%reportAge == 0 {
				known[e] = len(queues[e])
			}
			kept := queues[e][:0]
			for i, r := range queues[e] {
				if i < slots {
					r.left--
				}
				if r.left > 0 {
					kept = append(kept, r)
				}
			}
			queues[e] = kept
			deepest = max(deepest, len(kept)-slots)
		}
		if random.Float64() >= perSecond*step.Seconds() {
			continue
		}
		instance := random.IntN(instances)
		var candidates []Candidate
		for e := range queues {
			own := 0
			for _, r := range queues[e] {
				if r.instance == instance {
					own++
				}
			}
			candidates = append(candidates, Candidate{
				FinishAt: ExpectedFinish(now, service, 0, slots, known[e]+own),
				Weight:   1,
			})
		}
		chosen := Choose(candidates, service, random.Float64(), random.Float64())
		served[chosen]++
		queues[chosen] = append(queues[chosen], request{
			instance: instance,
			left:     int(service/step/2) + random.IntN(int(service/step)),
		})
	}
	total := served[0] + served[1] + served[2]
	for e, count := range served {
		if got := float64(3*count) / float64(total); got > 1.3 {
			t.Errorf("endpoint %d: got %.2f times the mean load, want at most 1.3", e, got)
		}
	}
	if want := 32; deepest > want {
		t.Errorf("got a queue of %d, want at most %d", deepest, want)
	}
	t.Logf("served %v, deepest queue %d", served, deepest)
}
