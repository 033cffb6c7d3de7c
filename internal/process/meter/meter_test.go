package meter

import (
	"testing"

	"rosemarylb"
)

// Bytes that are counted at a wrong distance hide traffic that costs money.
func TestDistanceOfPeers(t *testing.T) {
	m := NewMeter(Location{
		Domain: "a",
		Region: "r",
	})
	m.SetPeers([]rosemarylb.RelayPeer{
		{Address: "10.0.0.1:1", Domain: "a", Region: "r"},
		{Address: "10.0.0.2:1", Domain: "b", Region: "r"},
		{Address: "10.0.0.3:1", Domain: "a", Region: "s"},
		{Address: "10.0.0.4:1", Region: "r"},
		{Address: "10.0.0.5:1", Domain: "a", Region: "r"},
		{Address: "10.0.0.5:2", Domain: "b", Region: "r"},
	})
	for address, want := range map[string]Distance{
		"10.0.0.1:99": DistanceDomain,
		"10.0.0.2:99": DistanceRegion,
		"10.0.0.3:99": DistanceOtherRegion,
		"10.0.0.4:99": DistanceRegion,
		"10.0.0.5:99": DistanceUnknown,
		"10.0.0.6:99": DistanceUnknown,
	} {
		if got := m.FlowToAddress(KindRelays, address); got != flows[KindRelays][want] {
			t.Errorf("%s: got another flow than that of distance %s", address, distanceNames[want])
		}
	}
}
