package proxy

import (
	"math"
	"time"
)

const (
	// latencySmoothing is the divisor of the moving average: each new response
	// time has a weight of 1/latencySmoothing.
	latencySmoothing = 8
	// latencyMemory is the age in seconds at which a latency has lost most of its
	// weight.
	latencyMemory = 5.0
	// minLagBackoff is how long a replica gets no reads after it lagged behind
	// the required position. The backoff doubles up to maxLagBackoff with each
	// further time, and halves with each successful reply.
	minLagBackoff = 20 * time.Millisecond
	maxLagBackoff = 640 * time.Millisecond
)

// endpointStats is the average latency of an endpoint and its lag backoff.
type endpointStats struct {
	latency    time.Duration
	measuredAt time.Time
	lagBackoff time.Duration
}

// withLatency returns the stats after a successful reply that took the given
// time.
func (s endpointStats) withLatency(took time.Duration, now time.Time) endpointStats {
	s.lagBackoff /= 2
	s.measuredAt = now
	if s.latency == 0 {
		s.latency = took
		return s
	}
	s.latency += (took - s.latency) / latencySmoothing
	return s
}

// latencyAt returns the average latency, or what is assumed without measurements. The
// average loses its weight with age, so that an endpoint that was slow gets reads again.
func (s endpointStats) latencyAt(assumed time.Duration, now time.Time) time.Duration {
	if s.latency == 0 {
		return assumed
	}
	weight := math.Exp(-now.Sub(s.measuredAt).Seconds() / latencyMemory)
	return assumed + time.Duration(float64(s.latency-assumed)*weight)
}

// withLag returns the stats with a longer backoff, after the replica lagged
// behind a required position.
func (s endpointStats) withLag() endpointStats {
	s.lagBackoff = min(max(s.lagBackoff*2, minLagBackoff), maxLagBackoff)
	return s
}
