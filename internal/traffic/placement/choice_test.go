package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(100, 0)

func TestChooseRespectsWeightsAndMargin(t *testing.T) {
	const margin = 20 * time.Millisecond
	early := Candidate{
		FinishAt: start.Add(10 * time.Millisecond),
		Weight:   1,
	}
	late := Candidate{
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
			{[]Candidate{late, early}, 1},
			{[]Candidate{ejected, late}, 1},
			{[]Candidate{ejected}, -1},
			{nil, -1},
		} {
			if got := Choose(c.candidates, margin, first, second); got != c.want {
				t.Fatalf("got %d of %+v, want %d", got, c.candidates, c.want)
			}
		}
	}
}

const (
	slots   = 4
	service = 18 * time.Millisecond
	step    = time.Millisecond
	// reportSteps is the age of the oldest knowledge, in steps.
	reportSteps = 120
)

// waiting is a request at an endpoint.
type waiting struct {
	instance int
	left     int
}

// simulate sends reads of 80 instances to endpoints with the given slots. Each instance
// knows the load at the last report and its own requests. It returns the requests to
// each endpoint and the depth of the longest queue.
func simulate(perSecond float64, slotCounts []int) (served []int, deepest int) {
	const (
		instances = 80
		steps     = 30_000
	)
	random := rand.New(rand.NewPCG(1, 1))
	queues, known := make([][]waiting, len(slotCounts)), make([]int, len(slotCounts))
	served = make([]int, len(slotCounts))
	for n := range steps {
		now := start.Add(time.Duration(n) * step)
		for e := range queues {
			if n%reportSteps == 0 {
				known[e] = len(queues[e])
			}
			queues[e] = advance(queues[e], slotCounts[e])
			deepest = max(deepest, len(queues[e])-slotCounts[e])
		}
		if random.Float64() >= perSecond*step.Seconds() {
			continue
		}
		instance := random.IntN(instances)
		var candidates []Candidate
		for e := range queues {
			ahead := known[e]
			for _, r := range queues[e] {
				if r.instance == instance {
					ahead++
				}
			}
			candidates = append(candidates, Candidate{
				FinishAt: ExpectedFinish(now, service, 0, slots, ahead),
				Weight:   1,
			})
		}
		chosen := Choose(candidates, reportSteps*step/3, random.Float64(), random.Float64())
		served[chosen]++
		queues[chosen] = append(queues[chosen], waiting{
			instance: instance,
			left:     int(service/step/2) + random.IntN(int(service/step)),
		})
	}
	return served, deepest
}

// advance serves the first requests of a queue for one step.
func advance(queue []waiting, slots int) []waiting {
	kept := queue[:0]
	for i, r := range queue {
		if i < slots {
			r.left--
		}
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

func TestInstancesWithOldKnowledgeSpreadTheirRequests(t *testing.T) {
	// If all chose the best endpoint, the queue would move from one to the next.
	served, deepest := simulate(550, []int{slots, slots, slots})
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

func TestSlowerEndpointReceivesFewerRequests(t *testing.T) {
	// Guards against a margin so wide that the choice is random: a third of 450 reads a
	// second is more than an endpoint with half of its slots serves.
	served, deepest := simulate(450, []int{slots, slots, slots / 2})
	if want := 32; deepest > want {
		t.Errorf("got a queue of %d, want at most %d", deepest, want)
	}
	t.Logf("served %v, deepest queue %d", served, deepest)
}
