package proxy

import (
	"math"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/outlier"
	"rosemarylb/internal/traffic/spill"
)

const (
	// sampleInterval is the time between two samples of the expected finishes.
	sampleInterval = 100 * time.Millisecond
	// waitMemory is the age in seconds at which a waiting time has lost most of its
	// weight.
	waitMemory = 1.0
	// waitSmoothing is the weight of a new waiting time.
	waitSmoothing = 0.1
)

// balancing is the immutable state by which a group's reads are spread over its
// endpoints.
type balancing struct {
	detector outlier.Detector
	balancer spill.Balancer
	// waits are how long reads waited here, by the distance that they were to go to.
	waits    [spill.DistanceCount][rosemarylb.RankCount]meanWait
	sampleAt time.Time
	// service is the mean time in seconds that an endpoint with a free slot takes for a
	// statement, 0 before the first one.
	service float64
}

// withService counts the time that an endpoint with a free slot took.
func (b balancing) withService(took time.Duration) balancing {
	if b.service == 0 {
		b.service = took.Seconds()
	}
	b.service += (took.Seconds() - b.service) / latencySmoothing
	return b
}

// serviceTime returns the mean time that an endpoint with a free slot takes.
func (b balancing) serviceTime() time.Duration {
	if b.service == 0 {
		return initialLatency
	}
	return time.Duration(b.service * float64(time.Second))
}

// meanWait is a moving average of waiting times, in seconds.
type meanWait struct {
	seconds float64
	at      time.Time
}

// withWait counts a waiting time.
func (w meanWait) withWait(waited time.Duration, now time.Time) meanWait {
	w.seconds = w.current(now)
	w.seconds += (waited.Seconds() - w.seconds) * waitSmoothing
	w.at = now
	return w
}

// current returns the average, which falls while no read waits.
func (w meanWait) current(now time.Time) float64 {
	if w.at.IsZero() {
		return 0
	}
	return w.seconds * math.Exp(-now.Sub(w.at).Seconds()/waitMemory)
}

// withWait counts the time that a read waited for an endpoint at a distance.
func (b balancing) withWait(d spill.Distance, r rosemarylb.Rank, waited time.Duration, now time.Time) balancing {
	b.waits[d][r] = b.waits[d][r].withWait(waited, now)
	return b
}

// withSample records the mean expected finish of the endpoints at a distance.
func (b balancing) withSample(d spill.Distance, finishAt, now time.Time) balancing {
	var finishes spill.Finishes
	for rank := range finishes {
		wait := time.Duration(b.waits[d][rank].current(now) * float64(time.Second))
		finishes[rank] = finishAt.Add(wait)
	}
	b.balancer = b.balancer.WithSample(d, finishes, now)
	return b
}

// withOutcome records the outcome of a request.
func (b balancing) withOutcome(id rosemarylb.EndpointID, o outlier.Outcome, now time.Time) balancing {
	b.detector = b.detector.WithOutcome(id, o, now)
	return b
}

// withStart records that an endpoint has started, or is known from the start of this
// process on and counts as warm.
func (b balancing) withStart(id rosemarylb.EndpointID, warm bool, now time.Time) balancing {
	warmAt := time.Time{}
	if warm {
		warmAt = now
	}
	b.detector = b.detector.WithStart(id, warmAt, now)
	return b
}

// withoutEndpoint removes an endpoint.
func (b balancing) withoutEndpoint(id rosemarylb.EndpointID, now time.Time) balancing {
	b.detector = b.detector.WithoutEndpoint(id, now)
	return b
}

// withTransfer counts bytes on the link between regions.
func (b balancing) withTransfer(bytes int, now time.Time) balancing {
	b.balancer = b.balancer.WithTransfer(bytes, now)
	return b
}

// newBalancer returns a balancer for a budget of the link between regions.
func newBalancer(bytesPerSecond float64) spill.Balancer {
	options := []spill.Option{spill.WithBudget(bytesPerSecond)}
	for d, price := range travelPrices {
		options = append(options, spill.WithPrice(spill.Distance(d), price))
	}
	return spill.NewBalancer(options...)
}
