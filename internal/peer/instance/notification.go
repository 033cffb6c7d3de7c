package instance

import (
	"maps"
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/proxy"
)

// updatePeers applies the changes of the list of peers in a reply, and passes the
// list to the proxy. Changes of a version that this instance does not have are
// ignored; the next request then asks for the whole list.
func (pr *PermitRequester) updatePeers(reply *link.PermitReply) {
	if reply.GetPeersVersion() == 0 {
		return
	}
	peers := map[string]rosemarylb.RelayPeer{}
	if since := reply.GetPeersSince(); since != 0 {
		if since != pr.peersVersion {
			pr.peersVersion = 0
			return
		}
		peers = pr.peers
	}
	for _, address := range reply.GetPeersGone() {
		delete(peers, address)
	}
	for _, p := range reply.GetPeers() {
		peers[p.GetAddress()] = rosemarylb.RelayPeer{
			Address: p.GetAddress(),
			Domain:  rosemarylb.DomainName(p.GetDomain()),
			Region:  rosemarylb.RegionName(p.GetRegion()),

			InstanceAddress: p.GetInstanceAddress(),
		}
	}
	pr.peers = peers
	pr.peersVersion = reply.GetPeersVersion()
	all := slices.Collect(maps.Values(peers))
	pr.meter.SetPeers(all)
	pr.proxyRing.Put(proxy.PeersChanged{
		Peers: all,
	})
}

// applyNotification applies what the reply reports of the store: it stores the
// notification and passes a new version of the endpoints on to the proxy and the
// keeper's duty. A reply without a notification resets the known version, so that
// the next one brings the whole list.
func (pr *PermitRequester) applyNotification(reply *link.PermitReply, now time.Time) {
	if !reply.GetTells() {
		pr.endpointsVersion = 0
		return
	}
	if version := reply.GetEndpointsVersion(); version != pr.endpointsVersion {
		pr.endpointsVersion = version
		endpoints := decodeEndpoints(reply.GetEndpoints())
		pr.loads = pr.loads.withEndpoints(endpoints)
		pr.proxyRing.Put(proxy.EndpointsChanged{
			Endpoints: endpoints,
		})
		pr.keeperRunner.Ring().Put(keeperduty.EndpointsChanged{
			Endpoints: endpoints,
		})
	}
	pr.notification.Store(keeper.Notification{
		RequestedAt:    now,
		WatchesStore:   reply.GetFollows(),
		CatalogVersion: reply.GetCatalogVersion(),
	})
}
