package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rosemarylb/internal/traffic/explanation"
)

// serveExplanation starts a server that answers with an explanation, and returns its
// address. Each request's parameters are checked.
func serveExplanation(t *testing.T, e explanation.Explanation) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got, want := r.URL.String(), "/explain?database=db+1&floor=2.30&kind=begin-read&team=a%26b"; got != want {
			t.Errorf("got request %s, want %s", got, want)
		}
		_ = json.NewEncoder(w).Encode(e)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// explainArgs returns the command line of the request that serveExplanation expects.
func explainArgs(address string) []string {
	return []string{
		"explain", "--address", address, "--database", "db 1", "--team", "a&b", "--kind", "begin-read",
		"--floor", "2.30",
	}
}

// TestExplainPrintsDecisionFirst guards against a decision that the operator cannot tell
// from the output, and against parameters that do not arrive as given.
func TestExplainPrintsDecisionFirst(t *testing.T) {
	tests := []struct {
		decision explanation.Decision
		want     string
	}{
		{
			explanation.Decision{
				Outcome:    explanation.OutcomeGoes,
				Endpoint:   "e1",
				Connection: explanation.ConnectionOpen,
			}, "goes to endpoint e1 on an open direct connection",
		},
		{
			explanation.Decision{
				Outcome:    explanation.OutcomeGoes,
				Endpoint:   "e1",
				Connection: explanation.ConnectionNew,
				Via:        "10.0.0.1:7440",
			}, "goes to endpoint e1 on a new connection through owner 10.0.0.1:7440",
		},
		{
			explanation.Decision{
				Outcome:           explanation.OutcomeWaits,
				Code:              "busy",
				Reason:            "a primary",
				WaitsAtMostMillis: 400,
			}, "waits for at most 400 ms for a primary, then refused with busy",
		},
		{
			explanation.Decision{
				Outcome:          explanation.OutcomeRefused,
				Code:             "busy",
				Reason:           "not run: quota",
				RetryAfterMillis: 70,
			}, "refused with busy: not run: quota; come back in 70 ms",
		},
	}
	for _, test := range tests {
		address := serveExplanation(t, explanation.Explanation{
			Decision: test.decision,
			Candidates: []explanation.Candidate{{
				Endpoint:   "e2",
				Role:       "replica",
				Domain:     "d",
				Region:     "r",
				CostMillis: 4.25,
				Connection: explanation.ConnectionNew,
				Via:        "y:1",
				Reason:     "leaving",
				Owners:     []string{"x:1", "y:1"},
			}},
		})
		var out, errOut strings.Builder
		code := Run(explainArgs(address), &out, &errOut)
		lines := strings.Split(out.String(), "\n")
		if code != ExitOK || lines[0] != test.want {
			t.Errorf("got exit code %d, %q and errors %q, want %q", code, lines[0], errOut.String(), test.want)
		}
		row := strings.Join(strings.Fields(lines[2]), " ")
		if want := "e2 replica d r 4.2 no new via y:1 leaving x:1,y:1"; row != want {
			t.Errorf("got row %q, want %q", row, want)
		}
	}
}

// TestExplainPrintsJSON guards against keys that scripts do not find.
func TestExplainPrintsJSON(t *testing.T) {
	address := serveExplanation(t, explanation.Explanation{
		Decision: explanation.Decision{
			Outcome:          explanation.OutcomeRefused,
			RetryAfterMillis: 70,
		},
	})
	var out, errOut strings.Builder
	code := Run(append(explainArgs(address), "--json"), &out, &errOut)
	if code != ExitOK || !strings.Contains(out.String(), `"retry-after-ms": 70`) {
		t.Errorf("got exit code %d, %q and errors %q, want the time to come back", code, out.String(), errOut.String())
	}
}

// TestExplainExitCodes guards against a wrong command line that looks like a failure of the
// instance, and the reverse.
func TestExplainExitCodes(t *testing.T) {
	failing := httptest.NewServer(http.NotFoundHandler())
	defer failing.Close()
	address := strings.TrimPrefix(failing.URL, "http://")
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"--address", address}, ExitUsage},
		{[]string{"--address", address, "--database", "db", "--kind", "drop"}, ExitUsage},
		{[]string{"--address", address, "--database", "db", "--floor", "2/30"}, ExitUsage},
		{[]string{"--address", address, "--database", "db"}, ExitFailure},
	}
	for _, test := range tests {
		var out, errOut strings.Builder
		if got := Run(append([]string{"explain"}, test.args...), &out, &errOut); got != test.want {
			t.Errorf("%v: got exit code %d, want %d", test.args, got, test.want)
		}
	}
}
