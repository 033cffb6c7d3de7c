// Package freshness computes the minimum log position that a read has to see,
// from samples of the primary's log position.
package freshness

import (
	"time"

	"rosemarylb"
)

const (
	// minSampleInterval is the minimum time between two recorded samples.
	minSampleInterval = 25 * time.Millisecond
	// maxSamples is the number of recorded samples. At the minimum interval
	// they reach back over the maximum staleness of routes.
	maxSamples = 128
)

// Sample is a position of the primary's log that includes every commit
// acknowledged before a point in time.
type Sample struct {
	// AsOf is that point in time: when the primary was queried for its position, at
	// a time when a permit covered it.
	AsOf time.Time
	// Position is the last entry of the primary's log.
	Position rosemarylb.Position
}

// Samples is an immutable series of samples from one group's primary in one
// term, in time order.
type Samples struct {
	term    rosemarylb.Term
	samples []Sample
}

// Term returns the term that the samples were taken in.
func (s Samples) Term() rosemarylb.Term {
	return s.term
}

// WithSample returns the samples with one more. A sample of a later term
// replaces all others, since a position of an earlier term says nothing about
// commits in the later one; a sample of an earlier term is dropped.
func (s Samples) WithSample(sample Sample) Samples {
	if sample.Position.Term < s.term {
		return s
	}
	if sample.Position.Term > s.term {
		return Samples{
			term:    sample.Position.Term,
			samples: []Sample{sample},
		}
	}
	last := len(s.samples) - 1
	if last >= 0 && sample.AsOf.Sub(s.samples[last].AsOf) < minSampleInterval {
		return s
	}
	samples := make([]Sample, 0, len(s.samples)+1)
	samples = append(samples, s.samples...)
	samples = append(samples, sample)
	if len(samples) > maxSamples {
		samples = samples[1:]
	}
	s.samples = samples
	return s
}

// PositionAsOf returns the earliest sampled position that includes every commit
// acknowledged before asOf, false when no sample is recent enough.
func (s Samples) PositionAsOf(asOf time.Time) (rosemarylb.Position, bool) {
	for _, sample := range s.samples {
		if !sample.AsOf.Before(asOf) {
			return sample.Position, true
		}
	}
	return rosemarylb.Position{}, false
}

// RequiredPosition returns the minimum position that a read has to see: every commit
// acknowledged before asOf, and the session's own commits up to floor. It
// returns false when the samples do not determine it, so that only the primary
// can serve the read.
func (s Samples) RequiredPosition(asOf time.Time, floor rosemarylb.Position) (rosemarylb.Position, bool) {
	p, found := s.PositionAsOf(asOf)
	if !found || floor.Term > s.term {
		return rosemarylb.Position{}, false
	}
	// A position of the current term includes all entries that survived from
	// earlier terms, so a minimum position of an earlier term adds nothing.
	if floor.Term == s.term && p.Less(floor) {
		return floor, true
	}
	return p, true
}
