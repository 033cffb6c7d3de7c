package instance

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeping"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/proxy"
)

// tellPeers passes a new list of peers on to the proxy.
func (a *Asker) tellPeers(reply *link.PermitReply) {
	if reply.GetPeersVersion() == 0 {
		return
	}
	a.peers = reply.GetPeersVersion()
	var peers []rosemarylb.RelayPeer
	for _, p := range reply.GetPeers() {
		peers = append(peers, rosemarylb.RelayPeer{
			Address: p.GetAddress(),
			Region:  rosemarylb.RegionName(p.GetRegion()),
		})
	}
	a.tell.Put(proxy.PeersChanged{
		Peers: peers,
	})
}

// tellStore passes on what the keeper tells of the store. The list of endpoints
// is asked for whole after a time in which the keeper told nothing.
func (a *Asker) tellStore(reply *link.PermitReply, now time.Time) {
	if !reply.GetTells() {
		a.list = 0
		return
	}
	if version := reply.GetEndpointsVersion(); version != a.list {
		a.list = version
		endpoints := decodeEndpoints(reply.GetEndpoints())
		a.tell.Put(proxy.EndpointsChanged{
			Endpoints: endpoints,
		})
		a.keeping.Ring().Put(keeping.EndpointsChanged{
			Endpoints: endpoints,
		})
	}
	a.told.Store(keeper.Notification{
		RequestedAt:    now,
		WatchesStore:   reply.GetFollows(),
		CatalogVersion: reply.GetCatalogVersion(),
	})
}
