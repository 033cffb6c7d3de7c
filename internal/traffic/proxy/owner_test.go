package proxy

import (
	"strconv"
	"testing"

	"rosemarylb"
)

// largeFleet returns the peers of a fleet with as many instances in the region r
// as given, and as many again in another one.
func largeFleet(inRegion int) []rosemarylb.RelayPeer {
	var peers []rosemarylb.RelayPeer
	for i := range 2 * inRegion {
		peer := rosemarylb.RelayPeer{
			Address: "10.0." + strconv.Itoa(i/200) + "." + strconv.Itoa(i%200) + ":7440",
			Region:  "r",
		}
		if i >= inRegion {
			peer.Region = "far"
		}
		peers = append(peers, peer)
	}
	return peers
}

// largeFleetProxy returns the proxy of one instance of a fleet, and an endpoint
// in the region r with the given limit of connections.
func largeFleetProxy(peers []rosemarylb.RelayPeer, self, connections int) (*Proxy, *endpointPool) {
	p := NewProxy(nil, nil, WithLocation(peers[self].Region, "d"), WithRelays(nil, peers[self].Address))
	p.share = rosemarylb.ConnectionShare{
		Members: len(peers),
	}
	p.applyPeers(peers)
	e := spec("e1", "r")
	e.Connections = connections
	return p, &endpointPool{
		spec: e,
	}
}

// With fewer connections than instances, each instance that opened one anyway was
// reset by the endpoint, again and again.
func TestInstancesOfLargeFleetStayWithinConnectionLimit(t *testing.T) {
	tests := []struct {
		name        string
		inRegion    int
		connections int
	}{
		{"less than one for each instance of the region", 147, 88},
		{"far less than one", 500, 88},
		{"one for each instance of the region", 147, 160},
		{"one for each instance", 40, 88},
	}
	for _, test := range tests {
		peers := largeFleet(test.inRegion)
		used := 0
		for i := range peers {
			p, ep := largeFleetProxy(peers, i, test.connections)
			used += p.connectionLimit(ep)
		}
		if used >= test.connections {
			t.Errorf("%s: got %d connections in use, want fewer than %d", test.name, used, test.connections)
		}
		if used < test.connections/2 {
			t.Errorf("%s: got %d connections in use, want at least half of %d", test.name, used, test.connections)
		}
	}
}

func TestRelaysOfLargeFleetGoThroughOwners(t *testing.T) {
	peers := largeFleet(147)
	limits := map[string]int{}
	for i := range peers {
		p, ep := largeFleetProxy(peers, i, 88)
		limits[peers[i].Address] = p.connectionLimit(ep)
	}
	for i := range peers {
		p, ep := largeFleetProxy(peers, i, 88)
		for _, address := range p.relayCandidates(ep) {
			if limits[address] == 0 {
				t.Fatalf("got %s as a relay of %s, want an instance with connections", address, peers[i].Address)
			}
		}
	}
}

func TestFewOwnersChangeWhenAnInstanceLeaves(t *testing.T) {
	peers := largeFleet(147)
	p, ep := largeFleetProxy(peers, 0, 88)
	before := map[string]bool{}
	for _, address := range p.owners(ep).addresses {
		before[address] = true
	}
	p.applyPeers(peers[1:])
	changed := 0
	for _, address := range p.owners(ep).addresses {
		if !before[address] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("got %d new owners after one instance left, want at most 1", changed)
	}
}

// A new keeper learns of the instances one by one.
func TestOwnersStayWhileNewKeeperMeetsInstances(t *testing.T) {
	peers := largeFleet(147)
	p, ep := largeFleetProxy(peers, 0, 88)
	want := p.owners(ep).owned
	p.applyPeers(peers[:20])
	if got := p.owners(ep).owned; got != want {
		t.Errorf("got owned %t by a list of 20 of %d instances, want %t as before", got, len(peers), want)
	}
	if got, want := len(p.peers), len(peers); got != want {
		t.Errorf("got %d peers, want the former %d", got, want)
	}
}

// After a loss of power all instances start at once, and none knows the others.
func TestStartingInstancesOfLargeFleetStayWithinConnectionLimit(t *testing.T) {
	for _, connections := range []int{46, 88} {
		peers := largeFleet(147)
		used := 0
		for i := range peers {
			p, ep := largeFleetProxy(peers[i:i+1], 0, connections)
			p.share = rosemarylb.ConnectionShare{
				Members:     len(peers),
				Provisional: true,
			}
			used += p.connectionLimit(ep)
		}
		if used >= connections || used < connections/2 {
			t.Errorf("got %d connections in use, want fewer than %d and at least half", used, connections)
		}
	}
}

func TestUnknownConnectionLimitAllowsOneConnection(t *testing.T) {
	peers := largeFleet(40)
	for _, known := range [][]rosemarylb.RelayPeer{peers, peers[:1]} {
		p, ep := largeFleetProxy(known, 0, 0)
		p.share.Members = len(peers)
		if got := p.connectionLimit(ep); got != 1 {
			t.Errorf("%d peers known: got %d connections, want 1", len(known), got)
		}
	}
}

// The connections that a loss of power leaves are few; an instance that opens two
// before it is counted takes one from another.
func TestProvisionalShareAllowsOneConnection(t *testing.T) {
	peers := largeFleet(4)
	p, ep := largeFleetProxy(peers[:1], 0, 88)
	p.share = rosemarylb.ConnectionShare{
		Members:     len(peers),
		Provisional: true,
	}
	if got := p.connectionLimit(ep); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}
