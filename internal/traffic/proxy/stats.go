package proxy

import "time"

const (
	// latencySmoothing is the divisor of the moving average: each new response
	// time has a weight of 1/latencySmoothing.
	latencySmoothing = 8
	// minLagBackoff is how long a replica gets no reads after it lagged behind
	// the required position. The backoff doubles up to maxLagBackoff with each
	// further time, and halves with each successful reply.
	minLagBackoff = 20 * time.Millisecond
	maxLagBackoff = 640 * time.Millisecond
)

// endpointStats is the average latency of an endpoint and its lag backoff.
type endpointStats struct {
	latency    time.Duration
	lagBackoff time.Duration
}

// withLatency returns the stats after a successful reply that took the given
// time.
func (s endpointStats) withLatency(took time.Duration) endpointStats {
	s.lagBackoff /= 2
	if s.latency == 0 {
		s.latency = took
		return s
	}
	s.latency += (took - s.latency) / latencySmoothing
	return s
}

// withLag returns the stats with a longer backoff, after the replica lagged
// behind a required position.
func (s endpointStats) withLag() endpointStats {
	s.lagBackoff = min(max(s.lagBackoff*2, minLagBackoff), maxLagBackoff)
	return s
}
