package placement

import "time"

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	// FinishAt is the expected time of the answer.
	FinishAt time.Time
	// Weight is the part of the usual requests that the endpoint may receive, between 0
	// for none and 1.
	Weight float64
}

// ExpectedFinish returns the expected time of the answer of an endpoint with a number
// of slots and of requests that it already has. The latency of the network counts once
// for each direction. A request counts as work ahead also while slots are free,
// because what is known of an endpoint is older than the requests that others send it
// at the same time.
func ExpectedFinish(now time.Time, service, latency time.Duration, slots, ahead int) time.Time {
	wait := service * time.Duration(ahead) / time.Duration(max(slots, 1))
	return now.Add(2*latency + service + wait)
}

// Choose draws two candidates by their weights and returns the index of the first, or
// of the second if that one finishes earlier by more than the margin. The margin is a
// part of the age of what the instance knows of the endpoints, about a third: their
// queues have changed meanwhile, and instances that all act on a smaller difference move
// the queue from one endpoint to the next. The candidates should have the same distance,
// which a margin would hide. The two random numbers are in [0, 1). Choose returns -1 if
// no candidate has a weight.
//
// It is designed for groups of up to 20 endpoints and 100 instances whose knowledge of
// the others' requests is up to 120 ms old.
func Choose(candidates []Candidate, margin time.Duration, first, second float64) int {
	a := draw(candidates, -1, first)
	b := draw(candidates, a, second)
	if b >= 0 && candidates[b].FinishAt.Add(margin).Before(candidates[a].FinishAt) {
		return b
	}
	return a
}

// draw returns the index of a random candidate other than the excluded one, with a
// probability in proportion to its weight, -1 if there is none.
func draw(candidates []Candidate, excluded int, random float64) int {
	total := 0.0
	for i, c := range candidates {
		if i != excluded {
			total += c.Weight
		}
	}
	last, remaining := -1, random*total
	for i, c := range candidates {
		if i == excluded || c.Weight <= 0 {
			continue
		}
		last = i
		if remaining < c.Weight {
			return i
		}
		remaining -= c.Weight
	}
	return last
}
