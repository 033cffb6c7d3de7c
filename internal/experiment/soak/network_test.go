package soak

import "testing"

// Two runs of one seed on one machine had the same addresses, and each met the
// instances of the other.
func TestRunsOfOneSeedHaveTheirOwnNetworks(t *testing.T) {
	const seed = 49_999
	seen := map[string]bool{}
	for range 3 {
		n, release, err := reserveNetwork(seed)
		if err != nil {
			t.Fatal(err)
		}
		defer release()
		if host := n.host(0); seen[host] {
			t.Errorf("got host %s for two runs, want one each", host)
		} else {
			seen[host] = true
		}
	}
}

func TestReleasedNetworkIsUsedAgain(t *testing.T) {
	first, release, err := reserveNetwork(7)
	if err != nil {
		t.Fatal(err)
	}
	release()
	second, release, err := reserveNetwork(7)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if first != second {
		t.Errorf("got network %v after the release of %v, want the same", second, first)
	}
}
