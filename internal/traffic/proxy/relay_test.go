package proxy

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// newRemotePrimaryHarness returns a harness whose primary is in another region,
// with a limit of one direct connection and a peer in the region of the
// primary.
func newRemotePrimaryHarness(t testing.TB) *harness {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.handle(ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: 8,
			Index:   7,
		},
	})
	h.register(spec("e1", "far"))
	h.handle(PeersChanged{
		Peers: []rosemarylb.RelayPeer{
			{
				Address: "near-caller",
				Region:  "r",
			},
			{
				Address: "near-primary",
				Region:  "far",
			},
		},
	})
	return h
}

func TestRemotePrimaryWriteUsesRelayNearPrimary(t *testing.T) {
	h := newRemotePrimaryHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	direct := h.nextSent()
	if direct.query.TimeoutMillis != 0 {
		t.Errorf("got a time limit of %d ms sent to the endpoint, want none", direct.query.TimeoutMillis)
	}
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryWrite)
	s := h.nextSent()
	if got, want := h.relays[s.id], "near-primary"; got != want {
		t.Fatalf("got the second write sent through %q, want %q", got, want)
	}
	if s.query.TimeoutMillis <= 0 || s.query.TimeoutMillis > 800 {
		t.Errorf("got a time limit of %d ms, want at most 800", s.query.TimeoutMillis)
	}
	h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(11, rosemarylb.ReplyDone, none)
}

func TestLostRelayedWriteHasUnknownOutcome(t *testing.T) {
	h := newRemotePrimaryHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.nextSent()
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryWrite)
	h.loseConnection(h.nextSent())
	h.wantAnswer(11, rosemarylb.ReplyUnknown, none)
}

func TestRelayReplyDoesNotRecordPrimaryAnswer(t *testing.T) {
	h := newRemotePrimaryHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.nextSent()
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryBegin)
	h.ask(11, rosemarylb.QueryWrite)
	before := h.proxy.groups["g"].observation.AnsweredAt
	h.advance(10 * time.Millisecond)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, rosemarylb.Position{})
	if got := h.proxy.groups["g"].observation.AnsweredAt; got != before {
		t.Errorf("got AnsweredAt %s after a begin that the relay answered, want %s", got, before)
	}
}

// relayQuery opens a relay session and sends a query in it.
func (h *harness) relayQuery(id rosemarylb.SessionID, endpoint rosemarylb.EndpointID, kind rosemarylb.QueryKind) {
	h.handle(SessionOpened{
		Session:  id | relaySessionBit,
		Database: "g",
		Endpoint: endpoint,
	})
	q := rosemarylb.Query{
		ID:     "x",
		Kind:   kind,
		Writes: kind == rosemarylb.QueryWrite,
	}
	h.handle(QueryReceived{
		Session: id | relaySessionBit,
		Query:   q.WithRankAndTimeout(rosemarylb.RankUrgent, 500),
	})
	h.openConnections()
}

func TestRelayedQueryIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.relayQuery(20, "e1", rosemarylb.QueryWrite)
	s := h.nextSent()
	if s.to != "e1" || s.query.TimeoutMillis != 0 {
		t.Errorf("got %s with a time limit of %d ms, want e1 without one", s.to, s.query.TimeoutMillis)
	}
	h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(20, rosemarylb.ReplyDone, none)
	if r, _ := h.last(20); r.Position != position(1, 11) {
		t.Errorf("got position %s, want the endpoint's", r.Position)
	}
}

func TestRelayedQueryForAnotherPrimaryIsRejected(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.relayQuery(20, "e2", rosemarylb.QueryWrite)
	if r, answered := h.last(20); !answered || !r.Code.NotRun() {
		t.Errorf("got %v %s, want a rejection as not run", answered, r.Code)
	}
	if len(h.sent) != 0 {
		t.Errorf("got %v sent, want nothing", h.sent)
	}
}

func TestRelayedQueriesOpenNoRelay(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.handle(ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: 8,
			Index:   7,
		},
	})
	h.handle(PeersChanged{
		Peers: []rosemarylb.RelayPeer{{
			Address: "other",
			Region:  "r",
		}},
	})
	for id := rosemarylb.SessionID(20); id < 24; id++ {
		h.relayQuery(id, "e1", rosemarylb.QueryWrite)
	}
	for id, via := range h.relays {
		if via != "" {
			t.Errorf("got connection %d through %s, want none", id, via)
		}
	}
}

func TestConnectionLimitFavorsEndpointRegion(t *testing.T) {
	h := newHarness(t)
	h.register(spec("e1", "r"), spec("e2", "far"))
	h.handle(ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: 4,
		},
	})
	var peers []rosemarylb.RelayPeer
	for _, region := range []rosemarylb.RegionName{"r", "r", "far", "far"} {
		peers = append(peers, rosemarylb.RelayPeer{
			Address: "x",
			Region:  region,
		})
	}
	h.handle(PeersChanged{
		Peers: peers,
	})
	tests := []struct {
		endpoint rosemarylb.EndpointID
		want     int
	}{
		{"e1", 3},
		{"e2", 1},
	}
	for _, c := range tests {
		if got := h.proxy.connectionLimit(h.proxy.pools[c.endpoint]); got != c.want {
			t.Errorf("%s: got %d connections, want %d", c.endpoint, got, c.want)
		}
	}
}

func TestReadAvoidsRelayToFormerPrimary(t *testing.T) {
	h := newRemotePrimaryHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	direct := h.nextSent()
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryWrite)
	relayed := h.nextSent()
	h.reply(relayed, rosemarylb.ReplyDone, none, position(1, 11))
	h.register(spec("e1", "far"), spec("e2", "far"))
	h.permit("e2", 2, time.Second)
	h.reply(direct, rosemarylb.ReplyDone, none, position(1, 12))
	for id := rosemarylb.SessionID(2); id < 4; id++ {
		h.ask(id, rosemarylb.QueryRead)
	}
	for _, s := range h.sent {
		if h.relays[s.id] != "" && s.to != "e2" {
			t.Errorf("got %s for the replica %s sent through %s, want it sent directly", s.query.Kind, s.to, h.relays[s.id])
		}
	}
}

func TestRelayedRollbackCarriesTimeLimit(t *testing.T) {
	h := newRemotePrimaryHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.nextSent()
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryBegin)
	h.ask(11, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, rosemarylb.Position{})
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	h.handle(SessionClosed{
		Session: 11,
	})
	s := h.nextSent()
	if s.query.Kind != rosemarylb.QueryRollback || h.relays[s.id] == "" || s.query.TimeoutMillis <= 0 {
		t.Errorf("got %s through %q with a time limit of %d ms, want a relayed rollback with a time limit", s.query.Kind,
			h.relays[s.id], s.query.TimeoutMillis)
	}
}

// setPeers sets the numbers of peers in the region of the proxy and in another
// region.
func (h *harness) setPeers(near, far int) {
	var peers []rosemarylb.RelayPeer
	for i := range near + far {
		region := rosemarylb.RegionName("r")
		if i >= near {
			region = "far"
		}
		peers = append(peers, rosemarylb.RelayPeer{
			Address: "peer" + strconv.Itoa(i),
			Region:  region,
		})
	}
	h.handle(PeersChanged{
		Peers: peers,
	})
	h.handle(ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: near + far,
		},
	})
}

func TestConnectionLimitsStayWithinEndpointLimit(t *testing.T) {
	tests := []struct {
		name              string
		connections       int
		near, far         int
		wantNear, wantFar int
	}{
		{"few instances", 16, 4, 4, 2, 1},
		{"one for each instance", 60, 30, 29, 1, 1},
		{"fewer than instances", 46, 30, 29, 1, 0},
		{"many connections", 146, 33, 33, 3, 1},
	}
	for _, test := range tests {
		h := newHarness(t)
		h.setPeers(test.near, test.far)
		near, far := spec("e8", "r"), spec("e9", "far")
		near.Connections, far.Connections = test.connections, test.connections
		gotNear := h.proxy.connectionLimit(&endpointPool{
			spec: near,
		})
		gotFar := h.proxy.connectionLimit(&endpointPool{
			spec: far,
		})
		if gotNear != test.wantNear || gotFar != test.wantFar {
			t.Errorf("%s: got %d near and %d far, want %d and %d", test.name, gotNear, gotFar, test.wantNear, test.wantFar)
		}
		if used := gotNear*test.near + gotFar*test.far; used >= test.connections {
			t.Errorf("%s: got %d connections in use, want fewer than %d", test.name, used, test.connections)
		}
	}
}

func TestWriteUsesRelayWhileDirectConnectionIsBusy(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.proxy.address = "peer0"
	h.setPeers(6, 4)
	h.ask(1, rosemarylb.QueryWrite)
	if s := h.nextSent(); h.relays[s.id] != "" {
		t.Errorf("got the first write sent through %s, want it sent directly", h.relays[s.id])
	}
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryWrite)
	if s := h.nextSent(); h.relays[s.id] == "" || h.relays[s.id] == "peer0" {
		t.Errorf("got the second write sent through %q, want another instance", h.relays[s.id])
	}
}

func TestRelayedQueryUsesNoRelay(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.setPeers(6, 4)
	h.ask(1, rosemarylb.QueryWrite)
	h.nextSent()
	h.join(11, "primary")
	h.ask(11, rosemarylb.QueryWrite)
	s := h.nextSent()
	h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	h.relayQuery(20, "e1", rosemarylb.QueryRead)
	for _, s := range h.sent {
		if h.relays[s.id] != "" {
			t.Errorf("got a relayed query sent through %s, want it queued", h.relays[s.id])
		}
	}
}

func TestUnreachablePrimaryIsReachedThroughRelay(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.setPeers(2, 2)
	h.receive(1, rosemarylb.QueryWrite)
	direct := 0
	for end := h.now.Add(openStallThreshold + 50*time.Millisecond); h.now.Before(end); h.now = h.now.Add(5 * time.Millisecond) {
		h.proxy.Tick(h.now)
		opening := h.opening
		h.opening = nil
		for _, id := range opening {
			if h.relays[id] == "" {
				// The endpoint does not complete direct connection attempts.
				direct++
				continue
			}
			h.handle(ConnectionOpened{
				Connection: id,
			})
		}
	}
	if direct == 0 {
		t.Error("got no direct connection attempt, want one")
	}
	if s := h.nextSent(); h.relays[s.id] == "" || s.query.Kind != rosemarylb.QueryWrite {
		t.Errorf("got %s sent through %q, want the write through another instance", s.query.Kind, h.relays[s.id])
	}
}

// An endpoint keeps the connections of machines that lost power for seconds.
// An instance that got none of the others must not hold relayed queries, which
// another instance could serve.
func TestRelaySessionIsRejectedWithoutConnection(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.receive(1, rosemarylb.QueryWrite)
	h.rejectConnections(rosemarylb.ReplyConnectionLimit)
	h.relayQuery(20, "e1", rosemarylb.QueryWrite)
	h.wantAnswer(20, rosemarylb.ReplyBusy, none)
	if !h.closed[20] {
		t.Error("got the relay session accepted, want it rejected")
	}
}

// rejectConnections rejects the connections that the proxy is opening.
func (h *harness) rejectConnections(code rosemarylb.ReplyCode) {
	opening := h.opening
	h.opening = nil
	for _, id := range opening {
		h.handle(ConnectionLost{
			Connection: id,
			Code:       code,
		})
	}
}

// A query that one instance cannot pass on is passed on by another one while
// its caller still waits.
func TestRejectedRelayIsReplacedByAnother(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.proxy.address = "peer0"
	h.setPeers(4, 4)
	h.receive(1, rosemarylb.QueryWrite)
	h.rejectConnections(rosemarylb.ReplyConnectionLimit)
	tried := map[string]bool{}
	for end := h.now.Add(100 * time.Millisecond); h.now.Before(end) && len(h.sent) == 0; h.now = h.now.Add(5 * time.Millisecond) {
		h.proxy.Tick(h.now)
		opening := h.opening
		h.opening = nil
		for _, id := range opening {
			via := h.relays[id]
			if tried[via] {
				t.Errorf("got a second attempt through %q, want another instance", via)
			}
			tried[via] = true
			if len(tried) < 3 {
				h.handle(ConnectionLost{
					Connection: id,
					Code:       rosemarylb.ReplyBusy,
				})
				continue
			}
			h.handle(ConnectionOpened{
				Connection: id,
			})
		}
	}
	if got, want := h.nextSent().query.Kind, rosemarylb.QueryWrite; got != want {
		t.Errorf("got %s sent through the third instance, want %s", got, want)
	}
}

// A relayed write that its relay keeps until the deadline counts as sent at the
// other instance, which then has to report an unknown outcome.
func TestRelayedQueryIsRejectedBeforeDeadline(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	h.advance(600 * time.Millisecond)
	h.relayQuery(20, "e1", rosemarylb.QueryWrite)
	h.advance(500*time.Millisecond - relayReplyMargin/2)
	h.wantAnswer(20, rosemarylb.ReplyBusy, none)
}
