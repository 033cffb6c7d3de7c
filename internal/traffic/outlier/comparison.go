package outlier

import (
	"math"
	"slices"
	"time"

	"rosemarylb"
)

const (
	// memorySeconds is the age in seconds at which an outcome has lost most of its
	// weight.
	memorySeconds = 5.0
	// minOutcomes is the number of outcomes below which an endpoint is neither judged
	// nor compared with.
	minOutcomes = 5.0
	// minExcess is by how much the failure rate of an outlier exceeds that of the
	// others. Retries of callers hide a lower rate.
	minExcess = 0.05
	// deviations is the number of standard deviations that are subtracted from the
	// failures, so that chance alone ejects no endpoint.
	deviations = 2.0
	// maxChance is the chance of a row of failures, at the failure rate of the others,
	// below which the row alone makes an outlier. An endpoint that has just stopped is
	// found by it before its rate shows.
	maxChance = 1e-5
	// slowFactor and slowSeconds are by how much the mean latency of an outlier exceeds
	// that of the others: both, since short statements vary by more than a factor.
	slowFactor  = 4.0
	slowSeconds = 0.05
)

// total returns the number of outcomes, by weight.
func (e endpoint) total() float64 {
	return e.successes + e.failures
}

// standsOut reports whether an endpoint's failure rate or latency stands out from the
// others. A slow start is no reason.
func (d Detector) standsOut(e endpoint, now time.Time) bool {
	if e.total() < minOutcomes {
		return false
	}
	certain := e.failures - deviations*math.Sqrt(e.failures)
	others, _ := d.typical(e.id, func(o endpoint) float64 {
		return o.failures / o.total()
	})
	row := float64(e.failuresInRow)
	if certain/e.total() > others+minExcess || row >= minOutcomes && math.Pow(others, row) < maxChance {
		return true
	}
	return e.state(now) == StateNormal && e.successes >= minOutcomes && d.isSlow(e.seconds/e.successes, e.id)
}

// isSlow reports whether a latency in seconds stands out from those of the other
// endpoints. It is false if these are not known.
func (d Detector) isSlow(seconds float64, id rosemarylb.EndpointID) bool {
	others, known := d.typical(id, func(o endpoint) float64 {
		return o.seconds / max(o.successes, 1)
	})
	return known && seconds > others*slowFactor && seconds > others+slowSeconds
}

// typical returns the lower median of a value of the other endpoints in use, false if
// none of them has enough outcomes.
func (d Detector) typical(id rosemarylb.EndpointID, value func(endpoint) float64) (float64, bool) {
	var values []float64
	for _, o := range d.endpoints {
		if o.id != id && !o.isOut() && o.total() >= minOutcomes {
			values = append(values, value(o))
		}
	}
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}
