package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

func TestMembersForgetWhatIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	report := Report{
		From: "i1",
		Observations: []Observation{{
			Group:          "g",
			Primary:        "e1",
			AnsweredAt:     now,
			FirstFailureAt: now,
		}},
	}
	m := members{}.withReport(report, now)
	tests := []struct {
		name string
		at   time.Time
		want int
	}{
		{"just reported", now, 1},
		{"at the limit", now.Add(memberTimeout), 1},
		{"silent", now.Add(memberTimeout + time.Millisecond), 0},
	}
	for _, test := range tests {
		rest := m.withoutSilent(test.at)
		failing := 0
		for range rest.allFailing() {
			failing++
		}
		if rest.count() != test.want || failing != test.want || len(rest.answeredAt) != test.want {
			t.Errorf("%s: got %d members, %d failing, %d answers, want %d of each", test.name, rest.count(), failing,
				len(rest.answeredAt), test.want)
		}
	}
	if got := m.withReport(Report{
		From: "i1",
	}, now); got.failing.Len() != 0 {
		t.Errorf("got %d failing after a report without failures, want 0", got.failing.Len())
	}
	if _, found := m.get(rosemarylb.InstanceID("i2")); found {
		t.Error("got a report of i2, want none")
	}
}
