package outlier

import (
	"math"
	"time"

	"rosemarylb"
)

// endpoint is the immutable state of one endpoint.
type endpoint struct {
	id rosemarylb.EndpointID
	// successes, failures and seconds, the sum of the latencies of successes, lose their
	// weight with age.
	successes, failures, seconds float64
	countedAt                    time.Time
	// failuresInRow counts the failures since the last success.
	failuresInRow int
	// ejections is the number of ejections in a row, 0 for an endpoint that is not
	// remembered as an outlier.
	ejections    int
	ejectedUntil time.Time
	// probes is the number of successes in a row since ejectedUntil.
	probes int
	// returnedAt is the time at which the last ejection and its probes ended, the zero
	// time while the endpoint is ejected or probed.
	returnedAt          time.Time
	warmFrom, warmUntil time.Time
}

// isOut reports whether the endpoint is ejected or probed.
func (e endpoint) isOut() bool {
	return e.ejections > 0 && e.returnedAt.IsZero()
}

func (e endpoint) state(now time.Time) State {
	switch {
	case e.isOut() && now.Before(e.ejectedUntil):
		return StateEjected
	case e.isOut():
		return StateProbed
	case now.Before(e.warmUntil):
		return StateWarming
	default:
		return StateNormal
	}
}

// withOutcome counts an outcome. Older ones lose their weight.
func (e endpoint) withOutcome(o Outcome, now time.Time) endpoint {
	if age := now.Sub(e.countedAt); age > 0 && !e.countedAt.IsZero() {
		factor := math.Exp(-age.Seconds() / memorySeconds)
		e.successes *= factor
		e.failures *= factor
		e.seconds *= factor
	}
	e.countedAt = now
	if o.Failed {
		e.failures++
		e.failuresInRow++
		return e
	}
	e.failuresInRow = 0
	e.successes++
	e.seconds += max(now.Sub(o.ReceivedAt).Seconds(), 0)
	return e
}

// withEjection ejects the endpoint, for twice as long as last time if that was lately.
func (e endpoint) withEjection(now time.Time) endpoint {
	if !e.returnedAt.IsZero() && now.Sub(e.returnedAt) > forgetAfter {
		e.ejections = 0
	}
	e.ejectedUntil = now.Add(min(minEjection<<min(e.ejections, 10), maxEjection))
	e.ejections++
	e.returnedAt = time.Time{}
	e.probes = 0
	return e.withoutCounts()
}

// withReturn begins the slow start after an ejection.
func (e endpoint) withReturn(now time.Time) endpoint {
	e.returnedAt = now
	e.warmFrom, e.warmUntil = now, now.Add(slowStart)
	return e.withoutCounts()
}

// withoutCounts forgets the outcomes, so that those before an ejection do not count
// after it.
func (e endpoint) withoutCounts() endpoint {
	e.successes, e.failures, e.seconds, e.failuresInRow = 0, 0, 0, 0
	return e
}
