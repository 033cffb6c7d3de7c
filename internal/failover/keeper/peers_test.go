package keeper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"rosemarylb"
)

func peer(i int) rosemarylb.RelayPeer {
	return rosemarylb.RelayPeer{
		Address: "10.0.0." + strconv.Itoa(i) + ":7440",
		Region:  "r",
	}
}

// apply returns the list of an instance after an update.
func apply(peers map[string]rosemarylb.RelayPeer, u PeerUpdate) map[string]rosemarylb.RelayPeer {
	next := map[string]rosemarylb.RelayPeer{}
	if u.Since != 0 {
		maps.Copy(next, peers)
	}
	for _, address := range u.Removed {
		delete(next, address)
	}
	for _, p := range u.Added {
		next[p.Address] = p
	}
	return next
}

// Instances miss versions, and some of them ask after long silence or after a
// change of the holder; each has the whole list after one update.
func TestPeerUpdatesBringTheWholeList(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	alive := map[int]rosemarylb.RelayPeer{}
	for i := range 300 {
		alive[i] = peer(i)
	}
	type asker struct {
		peers   map[string]rosemarylb.RelayPeer
		version uint64
	}
	askers := make([]asker, 20)
	list := PeerList{}
	token := uint64(1)
	for step := range 400 {
		if r.IntN(50) == 0 {
			token++
		}
		i := r.IntN(300)
		if _, found := alive[i]; found {
			delete(alive, i)
		} else {
			alive[i] = peer(i)
		}
		list = list.withPeers(slices.Collect(maps.Values(alive)), token)
		for n := range askers {
			if r.IntN(2+5*n) != 0 {
				continue
			}
			u := list.UpdateSince(askers[n].version)
			askers[n] = asker{
				peers:   apply(askers[n].peers, u),
				version: u.Version,
			}
			if got, want := len(askers[n].peers), len(alive); got != want {
				t.Fatalf("step %d: got %d peers, want %d", step, got, want)
			}
			for _, p := range alive {
				if askers[n].peers[p.Address] != p {
					t.Fatalf("step %d: got no peer %s, want it", step, p.Address)
				}
			}
		}
	}
}

// The whole list once a change to each of hundreds of instances takes more than
// the link of the holder.
func TestPeerUpdateHoldsOnlyWhatChanged(t *testing.T) {
	var peers []rosemarylb.RelayPeer
	for i := range 300 {
		peers = append(peers, peer(i))
	}
	list := PeerList{}.withPeers(peers, 1)
	if u := list.UpdateSince(0); u.Since != 0 || len(u.Added) != 300 {
		t.Errorf("got %d peers since version %d for a new instance, want all 300", len(u.Added), u.Since)
	}
	next := list.withPeers(append(peers[1:], peer(300)), 1)
	u := next.UpdateSince(list.Version())
	if len(u.Added) != 1 || len(u.Removed) != 1 {
		t.Errorf("got %d added and %d removed, want 1 and 1", len(u.Added), len(u.Removed))
	}
	if same := next.withPeers(append(peers[1:], peer(300)), 1); same.Version() != next.Version() {
		t.Errorf("got version %d of an unchanged list, want %d", same.Version(), next.Version())
	}
	if other := next.withPeers(peers, 2); other.UpdateSince(next.Version()).Since != 0 {
		t.Error("got changes to the list of another holder, want the whole list")
	}
}
