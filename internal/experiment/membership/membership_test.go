package membership

import (
	"testing"
	"time"
)

func TestMembershipTrafficIsIndependentOfFleetSize(t *testing.T) {
	small := Run(Options{
		Members: 9,
		Seed:    1,
	})
	large := Run(Options{
		Members: 200,
		Seed:    1,
	})
	if got, want := large.BytesPerSecond, small.BytesPerSecond*2; got > want {
		t.Errorf("got %.0f bytes per second at 200 instances, want at most %.0f", got, want)
	}
	for _, r := range []Result{small, large} {
		if want := 2 * time.Second; r.DetectionTime > want {
			t.Errorf("got a detection after %v, want at most %v", r.DetectionTime, want)
		}
		if r.FalseDeaths != 0 {
			t.Errorf("got %d live instances declared dead, want none", r.FalseDeaths)
		}
	}
}

func TestViewsConvergeAfterAPartitionOfRegions(t *testing.T) {
	r := Run(Options{
		Members:          30,
		PartitionSeconds: 20,
		Seed:             2,
	})
	if want := 18 * time.Second; r.ConvergenceTime > want {
		t.Errorf("got accurate views after %v, want at most %v", r.ConvergenceTime, want)
	}
}

func TestFailureIsDetectedUnderMessageLoss(t *testing.T) {
	r := Run(Options{
		Members: 50,
		Loss:    0.02,
		Seed:    3,
	})
	if want := 3 * time.Second; r.DetectionTime > want {
		t.Errorf("got a detection after %v, want at most %v", r.DetectionTime, want)
	}
}
