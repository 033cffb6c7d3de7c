// Package meter counts the bytes that an instance exchanges with other instances and
// with endpoints, by the kind of traffic and the distance. Bytes between regions are
// limited, and bytes between domains cost money.
package meter

import (
	"net"

	"rosemarylb"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is a kind of traffic.
type Kind uint8

// The kinds of traffic.
const (
	// KindPermits is requests to the keeper and its replies, without configurations.
	KindPermits Kind = iota
	// KindConfiguration is configurations between instances.
	KindConfiguration
	// KindQuota is requests for quota tokens and their replies.
	KindQuota
	// KindRelays is queries that run through another instance.
	KindRelays
	// KindQueries is queries that are sent to endpoints directly.
	KindQueries
	kindCount
)

var kindNames = [kindCount]string{"permits", "configuration", "quota", "relays", "queries"}

// Distance is how far away a peer is.
type Distance uint8

// The distances.
const (
	// DistanceUnknown is the distance of a peer whose location is not known.
	DistanceUnknown Distance = iota
	// DistanceDomain is the distance within a failure domain.
	DistanceDomain
	// DistanceRegion is the distance between two domains of a region.
	DistanceRegion
	// DistanceOtherRegion is the distance between two regions.
	DistanceOtherRegion
	distanceCount
)

var distanceNames = [distanceCount]string{"unknown", "domain", "region", "other-region"}

// Location is where an instance or an endpoint is. The zero value is unknown.
type Location struct {
	// Domain is the failure domain, empty if unknown.
	Domain rosemarylb.DomainName
	// Region is the region of the domain.
	Region rosemarylb.RegionName
}

// distanceTo returns the distance to another location.
func (l Location) distanceTo(other Location) Distance {
	switch {
	case l.Region == "" || other.Region == "":
		return DistanceUnknown
	case l.Region != other.Region:
		return DistanceOtherRegion
	case l.Domain != "" && l.Domain == other.Domain:
		return DistanceDomain
	default:
		return DistanceRegion
	}
}

// Flow counts the bytes of a kind of traffic over a distance. The zero value counts
// nothing.
type Flow struct {
	sent, received *metrics.Counter
}

// Sent counts bytes that this instance has sent.
func (f Flow) Sent(bytes int) {
	if f.sent != nil {
		f.sent.Add(bytes)
	}
}

// Received counts bytes that this instance has received.
func (f Flow) Received(bytes int) {
	if f.received != nil {
		f.received.Add(bytes)
	}
}

var flows = newFlows()

func newFlows() (all [kindCount][distanceCount]Flow) {
	for kind, kindName := range kindNames {
		for distance, distanceName := range distanceNames {
			prefix := `rosemarylb_link_bytes_total{kind="` + kindName + `",distance="` + distanceName + `",direction=`
			all[kind][distance] = Flow{
				sent:     metrics.NewCounter(prefix + `"sent"}`),
				received: metrics.NewCounter(prefix + `"received"}`),
			}
		}
	}
	return all
}

// Meter knows the locations of an instance and its peers. It is safe for concurrent
// use.
type Meter struct {
	self Location
	// byHost is empty for a host that has instances in several locations.
	byHost *duty.Latest[map[string]Location]
}

// NewMeter returns a meter of an instance that knows no peers yet.
func NewMeter(self Location) *Meter {
	return &Meter{
		self:   self,
		byHost: duty.NewLatest(map[string]Location{}),
	}
}

// SetPeers replaces the known peers.
func (m *Meter) SetPeers(peers []rosemarylb.RelayPeer) {
	byHost := make(map[string]Location, len(peers))
	for _, p := range peers {
		l := Location{
			Domain: p.Domain,
			Region: p.Region,
		}
		host := hostOf(p.Address)
		if known, found := byHost[host]; found && known != l {
			l = Location{}
		}
		byHost[host] = l
	}
	m.byHost.Store(byHost)
}

// hostOf returns the host of a host:port, or the text itself if it is none.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// FlowTo returns the flow of a kind of traffic with a peer in a location.
func (m *Meter) FlowTo(k Kind, l Location) Flow {
	return flows[k][m.self.distanceTo(l)]
}

// FlowToAddress returns the flow of a kind of traffic with the instance at an address.
// The port does not matter. The distance is unknown if no peer has that host.
func (m *Meter) FlowToAddress(k Kind, address string) Flow {
	return m.FlowTo(k, m.byHost.Load()[hostOf(address)])
}
