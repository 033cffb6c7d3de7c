package proxy

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/explanation"
	"rosemarylb/internal/traffic/quota"
)

// footprint is what an explanation must not change.
type footprint struct {
	sent, opening, closed, answers, queued, requests, waiting, inFlight int
	lastID                                                              uint64
	connections                                                         map[rosemarylb.ConnectionID]connectionState
}

func (h *harness) footprint() footprint {
	f := footprint{
		sent:        len(h.sent),
		opening:     len(h.opening),
		closed:      len(h.closed),
		answers:     len(h.answers),
		requests:    h.proxy.QuotaRequests().Depth(),
		waiting:     h.proxy.quotas.allowance.Waiting(),
		inFlight:    h.proxy.inFlight,
		lastID:      h.proxy.lastID,
		connections: map[rosemarylb.ConnectionID]connectionState{},
	}
	for _, g := range h.proxy.groups {
		f.queued += len(g.queued) + len(g.delayed)
		for _, q := range g.queues {
			for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
				f.queued += q.Depth(rank)
			}
		}
	}
	for id, c := range h.proxy.connections {
		f.connections[id] = c.state
	}
	return f
}

// explain returns the explanation of a request, and fails if it changed anything.
func (h *harness) explain(r explanation.Request) explanation.Explanation {
	h.t.Helper()
	before := h.footprint()
	replies := make(chan explanation.Explanation, 1)
	h.handle(ExplanationRequested{
		Request: r,
		Reply:   replies,
	})
	if after := h.footprint(); !reflect.DeepEqual(after, before) {
		h.t.Errorf("got %+v after an explanation, want %+v as before", after, before)
	}
	return <-replies
}

// send sends a request of a kind in a session and returns the first query that reaches an
// endpoint.
func (h *harness) send(id rosemarylb.SessionID, kind explanation.Kind) sent {
	h.t.Helper()
	switch kind {
	case explanation.KindBegin:
		h.ask(id, rosemarylb.QueryBegin)
		h.ask(id, rosemarylb.QueryWrite)
	case explanation.KindBeginRead:
		h.ask(id, rosemarylb.QueryBeginRead)
		h.ask(id, rosemarylb.QueryRead)
	case explanation.KindWrite:
		h.ask(id, rosemarylb.QueryWrite)
	default:
		h.ask(id, rosemarylb.QueryRead)
	}
	return h.nextSent()
}

// serve runs a request of a session to its end.
func (h *harness) serve(id rosemarylb.SessionID, kind explanation.Kind) {
	h.reply(h.send(id, kind), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
}

// TestExplanationNamesTheEndpointOfTheRequest guards against an explanation that differs
// from what happens to the same request afterwards.
func TestExplanationNamesTheEndpointOfTheRequest(t *testing.T) {
	tests := []struct {
		name    string
		harness func(testing.TB) *harness
		session rosemarylb.SessionID
		team    rosemarylb.TeamName
		prepare func(*harness)
	}{
		{"no connection yet", newHarness, 2, "", func(*harness) {}},
		{"route to the primary", newHarness, 1, "", func(*harness) {}},
		{"replica connected", newHarness, 2, "", func(h *harness) { h.serve(2, explanation.KindRead) }},
		{"primary connected", newHarness, 2, "", func(h *harness) { h.serve(2, explanation.KindWrite) }},
		{"replica busy", newHarness, 2, "", func(h *harness) {
			h.join(12, "bounded")
			h.send(12, explanation.KindRead)
		}},
		{"replica behind the floor of the session", newHarness, 3, "", func(h *harness) {
			h.join(12, "bounded")
			h.serve(12, explanation.KindRead)
			h.reply(h.send(3, explanation.KindWrite), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 12))
			lagging := h.send(3, explanation.KindRead)
			h.reply(lagging, rosemarylb.ReplyReplicaLagging, rosemarylb.TransactionNone, position(1, 10))
			h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 12))
		}},
		{"replica avoided", newHarness, 2, "", func(h *harness) { h.proxy.pools["e2"].avoidUntil = h.now.Add(time.Second) }},
		{"replica leaving", newHarness, 2, "", func(h *harness) {
			leaving := spec("e2", "r")
			leaving.Leaving = true
			h.register(spec("e1", "r"), leaving)
		}},
		{"replica in another region", newHarness, 2, "", func(h *harness) { h.register(spec("e1", "r"), spec("e2", "far")) }},
		{"direct connection to a remote primary in use", newRemotePrimaryHarness, 1, "", func(h *harness) {
			h.join(12, "primary")
			h.send(12, explanation.KindBegin)
		}},
		{"team at an owner", newTeamHarness, 10, "a", func(*harness) {}},
		{"team with a connection", newTeamHarness, 10, "a", func(h *harness) { h.serve(10, explanation.KindWrite) }},
		{"limit used by other teams", func(t testing.TB) *harness { return newManyTeamsHarness(t, 12) }, 111, "t11", func(h *harness) {
			for i := range rosemarylb.SessionID(11) {
				h.serve(100+i, explanation.KindWrite)
			}
		}},
		{"team that may read replicas", newTeamHarness, 11, "a", func(h *harness) { h.joinWithKey(11, "bounded", "k1") }},
		{"team through its owner", ownersHarness, 10, "a", func(*harness) {}},
		{"team through the owner of a replica", ownersHarness, 11, "a", func(h *harness) { h.joinWithKey(11, "bounded", "k1") }},
		{"team through its second owner", ownersHarness, 10, "a", func(h *harness) {
			ep := h.proxy.pools["e1"]
			ep.rejectRelay(h.proxy.rankedOwners(ep, "a")[0], h.now.Add(time.Second), h.now)
		}},
	}
	kinds := []explanation.Kind{explanation.KindRead, explanation.KindWrite, explanation.KindBegin, explanation.KindBeginRead}
	for _, test := range tests {
		for _, kind := range kinds {
			h := test.harness(t)
			test.prepare(h)
			h.sent = nil
			s := h.proxy.sessions[test.session].state
			e := h.explain(explanation.Request{
				Database: s.Database(),
				Team:     test.team,
				Kind:     kind,
				Floor:    s.Floor(),
			})
			want := h.send(test.session, kind)
			d := e.Decision
			if d.Outcome != explanation.OutcomeGoes || d.Endpoint != string(want.to) || d.Via != h.relays[want.id] {
				t.Errorf("%s, %s: got %+v, want endpoint %s via %q", test.name, kind, d, want.to, h.relays[want.id])
			}
		}
	}
}

// TestExplanationOfRefusals guards against a refusal that an operator cannot trace to its
// cause.
func TestExplanationOfRefusals(t *testing.T) {
	nothing := func(*harness) {}
	tests := []struct {
		database string
		team     rosemarylb.TeamName
		prepare  func(*harness)
		outcome  explanation.Outcome
		code     string
		reason   string
	}{
		{"none", "a", nothing, explanation.OutcomeRefused, "no-database", "no database"},
		{"primary", "zz", nothing, explanation.OutcomeRefused, "unauthenticated", "unknown team zz"},
		{"primary", "", nothing, explanation.OutcomeRefused, "unauthenticated", "needs an API key"},
		{"primary", "a", func(h *harness) { h.advance(600 * time.Millisecond) }, explanation.OutcomeWaits, "busy", "a primary"},
		{"primary", "a", func(h *harness) {
			h.handle(DrainStarted{
				CloseAt: h.now,
				EndAt:   h.now.Add(time.Second),
			})
		}, explanation.OutcomeRefused, "busy", "shuts down"},
		{"primary", "a", func(h *harness) {
			for id := range rosemarylb.SessionID(2) {
				h.joinWithKey(20+id, "primary", "k1")
				h.ask(20+id, rosemarylb.QueryWrite)
			}
		}, explanation.OutcomeWaits, "busy", "a free connection to e1"},
	}
	for _, test := range tests {
		h := newTeamHarness(t)
		test.prepare(h)
		d := h.explain(explanation.Request{
			Database: test.database,
			Team:     test.team,
		}).Decision
		if d.Outcome != test.outcome || d.Code != test.code || !strings.Contains(d.Reason, test.reason) {
			t.Errorf("%s: got %+v, want %s with %s", test.reason, d, test.outcome, test.code)
		}
		if d.Outcome == explanation.OutcomeWaits && (d.WaitsAtMostMillis <= 0 || d.WaitsAtMostMillis > 800) {
			t.Errorf("%s: got %d ms, want a wait within the timeout of the route", test.reason, d.WaitsAtMostMillis)
		}
	}
}

// TestExplanationTakesNoToken guards against an explanation that uses up the quota of a
// team.
func TestExplanationTakesNoToken(t *testing.T) {
	h := newQuotaHarness(t)
	r := explanation.Request{
		Database: "primary",
		Team:     "team",
		Kind:     explanation.KindRead,
	}
	if d := h.explain(r).Decision; d.Outcome != explanation.OutcomeWaits || !strings.Contains(d.Reason, "quota") {
		t.Errorf("got %+v without a token, want to wait for one", d)
	}
	h.ask(10, rosemarylb.QueryRead)
	h.answer(quota.Grant{
		Tokens: 2,
	})
	h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
	for range 3 {
		if d := h.explain(r).Decision; d.Outcome != explanation.OutcomeGoes {
			t.Errorf("got %+v with a token, want the request sent", d)
		}
	}
	h.serve(10, explanation.KindRead)
	if got := len(h.sent); got != 0 {
		t.Errorf("got %d queries left, want the second token used by the request alone", got)
	}
}

// TestExplanationOfAnExhaustedQuota guards against a refusal without the time to come back.
func TestExplanationOfAnExhaustedQuota(t *testing.T) {
	h := newQuotaHarness(t)
	h.ask(10, rosemarylb.QueryRead)
	h.answer(quota.Grant{
		RetryMillis: 90,
	})
	got := h.explain(explanation.Request{
		Database: "primary",
		Team:     "team",
	}).Decision
	h.ask(10, rosemarylb.QueryRead)
	want, _ := h.last(10)
	if got.Outcome != explanation.OutcomeRefused || got.Reason != want.Text || got.RetryAfterMillis <= 0 {
		t.Errorf("got %+v, want a refusal like the request's %q", got, want.Text)
	}
}

// TestExplanationSaysWhyCandidatesDoNotServe guards against a table that does not show why
// an endpoint is passed over.
func TestExplanationSaysWhyCandidatesDoNotServe(t *testing.T) {
	h := newTeamHarness(t)
	leaving := spec("e4", "r")
	leaving.Leaving = true
	h.register(spec("e1", "r"), spec("e2", "r"), spec("e3", "r"), leaving)
	h.proxy.pools["e2"].avoidUntil = h.now.Add(70 * time.Millisecond)
	h.proxy.pools["e3"].laggingUntil = h.now.Add(time.Second)
	tests := []struct {
		kind explanation.Kind
		want map[string]string
	}{
		{explanation.KindRead, map[string]string{"e1": "", "e2": "avoided for 70 ms", "e3": "lags behind 1/10", "e4": "leaving"}},
		{explanation.KindWrite, map[string]string{"e1": "", "e2": "not the primary", "e3": "not the primary", "e4": "not the primary"}},
	}
	for _, test := range tests {
		e := h.explain(explanation.Request{
			Database: "bounded",
			Team:     "a",
			Kind:     test.kind,
		})
		got := map[string]string{}
		for _, c := range e.Candidates {
			got[c.Endpoint] = c.Reason
			if c.Serves != (c.Reason == "") || c.CostMillis <= 0 {
				t.Errorf("got %+v, want a cost, and a reason only where it does not serve", c)
			}
		}
		if !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.kind, got, test.want)
		}
		if c := e.Candidates[0]; c.Endpoint != "e1" || c.Role != "primary" || len(c.Owners) == 0 {
			t.Errorf("got %+v first, want the primary with its owners", c)
		}
	}
}
