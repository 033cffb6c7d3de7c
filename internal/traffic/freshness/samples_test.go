package freshness

import (
	"testing"
	"time"

	"rosemarylb"
)

var start = time.Unix(100, 0)

func at(millis int, term, lsn uint64) Sample {
	return Sample{
		AsOf: start.Add(time.Duration(millis) * time.Millisecond),
		Position: rosemarylb.Position{
			Term: rosemarylb.Term(term),
			LSN:  rosemarylb.LSN(lsn),
		},
	}
}

func TestRequiredPosition(t *testing.T) {
	samples := Samples{}.WithSample(at(0, 2, 10)).WithSample(at(100, 2, 20)).WithSample(at(200, 2, 30))
	tests := []struct {
		name        string
		asOf        int
		minPosition rosemarylb.Position
		want        uint64
		found       bool
	}{
		{"earliest sample after asOf", 50, rosemarylb.Position{}, 20, true},
		{"sample at asOf", 100, rosemarylb.Position{}, 20, true},
		{"asOf after all samples", 201, rosemarylb.Position{}, 0, false},
		{"minimum position above the sample", 50, at(0, 2, 25).Position, 25, true},
		{"minimum position below the sample", 50, at(0, 2, 5).Position, 20, true},
		{"minimum position of an earlier term", 50, at(0, 1, 99).Position, 20, true},
		{"minimum position of a later term", 50, at(0, 3, 1).Position, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			got, found := samples.RequiredPosition(start.Add(time.Duration(c.asOf)*time.Millisecond), c.minPosition)
			if found != c.found || uint64(got.LSN) != c.want {
				t.Errorf("got %s, %v, want %d, %v", got, found, c.want, c.found)
			}
		})
	}
}

func TestLaterTermReplacesSamples(t *testing.T) {
	samples := Samples{}.WithSample(at(0, 2, 10)).WithSample(at(100, 3, 4)).WithSample(at(200, 2, 11))
	got, found := samples.PositionAsOf(start)
	if want := at(0, 3, 4).Position; !found || got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if _, found := samples.PositionAsOf(at(150, 0, 0).AsOf); found {
		t.Error("got a sample of the earlier term, want none")
	}
}
