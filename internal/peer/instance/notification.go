package instance

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/proxy"
)

// updatePeers passes the list of peers to the proxy when the reply contains a new
// version of it.
func (pr *PermitRequester) updatePeers(reply *link.PermitReply) {
	if reply.GetPeersVersion() == 0 {
		return
	}
	pr.peersVersion = reply.GetPeersVersion()
	var peers []rosemarylb.RelayPeer
	for _, p := range reply.GetPeers() {
		peers = append(peers, rosemarylb.RelayPeer{
			Address: p.GetAddress(),
			Region:  rosemarylb.RegionName(p.GetRegion()),
		})
	}
	pr.proxyRing.Put(proxy.PeersChanged{
		Peers: peers,
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
