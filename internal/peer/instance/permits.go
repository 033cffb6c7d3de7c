package instance

import (
	"context"
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/meter"
	"rosemarylb/internal/traffic/quota"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// replyTimeout bounds the wait for a reply of the keeper's duty.
const replyTimeout = 250 * time.Millisecond

// permitServer serves requests for permits and for promises of a witness.
type permitServer struct {
	link.UnimplementedKeeperServer

	clock   rosemarylb.Clock
	ring    *duty.Ring[keeperduty.Event]
	witness *keeperduty.Witness
	record  *duty.Latest[keeper.Record]
	// catalogs encodes the configuration in replies, and onCatalog receives it from
	// requests.
	catalogs  *catalogEncoder
	onCatalog func(rosemarylb.Catalog)
	meter     *meter.Meter
	// onDeputyRequest passes on a request to this instance as the deputy of teams.
	onDeputyRequest func([]quota.Demand, chan<- quota.Reply) bool
}

// ServeKeeper serves the permit requests of other instances on a listener. It calls
// onCatalog, which must not block, with each configuration that a request carries, and
// counts the messages with m. What it receives counts in b. onDeputyRequest receives the
// requests to this instance as the deputy of teams; it must not block, and returns false
// if it drops one. The returned function stops the server and waits for it to end.
func ServeKeeper(
	listener net.Listener, b *budget.Budget, clock rosemarylb.Clock, k *keeperduty.Runner,
	onCatalog func(rosemarylb.Catalog), m *meter.Meter,
	onDeputyRequest func([]quota.Demand, chan<- quota.Reply) bool,
) func() {
	counted, options := newInboundListener(listener, b)
	s := grpc.NewServer(options...)
	link.RegisterKeeperServer(s, &permitServer{
		clock:     clock,
		ring:      k.Ring(),
		witness:   k.Witness(),
		record:    k.LatestRecord(),
		catalogs:  &catalogEncoder{},
		onCatalog: onCatalog,
		meter:     m,

		onDeputyRequest: onDeputyRequest,
	})
	wait := duty.Spawn(func() {
		_ = s.Serve(counted)
	})
	return func() {
		s.Stop()
		wait()
	}
}

// Ask implements link.KeeperServer. It runs on a goroutine of the gRPC server and
// waits for the keeper's duty. The reply is empty when the duty's ring is full.
func (s *permitServer) Ask(ctx context.Context, request *link.PermitRequest) (*link.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	traffic := newControlTraffic(s.meter, meter.Location{
		Domain: rosemarylb.DomainName(request.GetDomain()),
		Region: rosemarylb.RegionName(request.GetRegion()),
	})
	traffic.received(request, len(request.GetCatalog()))
	s.receiveCatalog(request)
	replies := make(chan keeperduty.PermitReply, 1)
	if !s.ring.Offer(keeperduty.PermitRequested{
		Report:        decodeReport(request, s.clock.Now()),
		Indexed:       decodeIndexed(request, s.clock.Now()),
		GrantsVersion: request.GetGrantsVersion(),
		Reply:         replies,
	}) {
		return &link.PermitReply{}, nil
	}
	select {
	case reply := <-replies:
		encoded := encodePermitReply(withAnsweringHolder(reply, s.witness), request)
		encodeLoads(encoded, reply, request, s.clock.Now())
		if reply.IsHolder {
			s.addCatalog(encoded, reply.Catalog, request.GetCatalogVersion())
		}
		traffic.sent(encoded, len(encoded.GetCatalog()))
		return encoded, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "keeper")
	}
}

// withAnsweringHolder returns the reply of an instance that is not the holder with the
// latest holder that it knows.
func withAnsweringHolder(reply keeperduty.PermitReply, w *keeperduty.Witness) keeperduty.PermitReply {
	if reply.IsHolder {
		return reply
	}
	latest := latestHolder(leaseHolder{
		address: reply.HolderAddress,
		token:   reply.HolderToken,
	}, w)
	reply.HolderAddress, reply.HolderToken = latest.address, latest.token
	return reply
}

// receiveCatalog passes on the configuration in a request. One that cannot be decoded is
// counted and ignored, so that the instance still gets its permits.
func (s *permitServer) receiveCatalog(request *link.PermitRequest) {
	if len(request.GetCatalog()) == 0 {
		return
	}
	catalog, err := decodeCatalog(request.GetCatalog())
	if err != nil {
		invalidCatalogs.Inc()
		return
	}
	s.onCatalog(catalog)
}

// addCatalog adds the configuration to the reply to an instance that has an older
// version.
func (s *permitServer) addCatalog(reply *link.PermitReply, c rosemarylb.Catalog, version uint64) {
	reply.CatalogHeld = c.Version
	if c.Version > version {
		reply.Catalog = s.catalogs.encode(c)
	}
}

// Depose implements link.KeeperServer.
func (s *permitServer) Depose(_ context.Context, request *link.DeposeRequest) (*link.DeposeReply, error) {
	return &link.DeposeReply{
		Promised: s.witness.PromiseToIgnore(request.GetToken(), s.clock.Now()),
	}, nil
}

func decodeReport(request *link.PermitRequest, now time.Time) keeper.Report {
	r := keeper.Report{
		From:            rosemarylb.InstanceID(request.GetFrom()),
		StoreAnsweredAt: timeBefore(now, request.GetStoreMicros()),
		Address:         request.GetAddress(),
		Peer: rosemarylb.RelayPeer{
			Address: request.GetRelayAddress(),
			Domain:  rosemarylb.DomainName(request.GetDomain()),
			Region:  rosemarylb.RegionName(request.GetRegion()),

			InstanceAddress: request.GetAddress(),
		},
		CatalogVersion: request.GetCatalogVersion(),
		Capacity:       int(request.GetCapacity()),
		Process:        request.GetProcess(),
		Support:        decodeSupport(request),
	}
	for _, e := range request.GetEvidence() {
		r.Observations = append(r.Observations, keeper.Observation{
			Group:          rosemarylb.DatabaseName(e.GetGroup()),
			Primary:        rosemarylb.EndpointID(e.GetPrimary()),
			AnsweredAt:     timeBefore(now, e.GetAnsweredMicros()),
			FirstFailureAt: timeBefore(now, e.GetFailingMicros()),
		})
	}
	return r
}

// decodeSupport returns the answer of this instance that a request names. Its time is by
// the clock of this process.
func decodeSupport(request *link.PermitRequest) keeper.Support {
	if request.GetToken() == 0 {
		return keeper.Support{}
	}
	return keeper.Support{
		Token:      request.GetToken(),
		AnsweredAt: time.UnixMicro(int64(request.GetHolderMicros())),
	}
}

// timeBefore returns the time a number of microseconds before now, or the zero
// time if the number is negative.
func timeBefore(now time.Time, micros int64) time.Time {
	if micros < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(micros) * time.Microsecond)
}

// microsSince returns the microseconds from a time until now, at least 0, or -1 for
// the zero time.
func microsSince(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at).Microseconds(), 0)
}

// encodePermitReply encodes a reply to a request. The lists of peers, endpoints and
// grants are left out if the instance has them already, by the versions in its request.
func encodePermitReply(reply keeperduty.PermitReply, request *link.PermitRequest) *link.PermitReply {
	encoded := &link.PermitReply{
		Keeper:        reply.IsHolder,
		Members:       uint32(reply.Share.Members),
		Index:         uint32(reply.Share.Index),
		Released:      reply.ReleasedToken,
		HolderAddress: reply.HolderAddress,
		Token:         reply.HolderToken,
	}
	if !reply.AnsweredAt.IsZero() {
		encoded.HolderMicros = uint64(reply.AnsweredAt.UnixMicro())
	}
	if reply.SendsChanges {
		encoded.Tells = true
		encoded.Follows = reply.WatchesStore
		encoded.CatalogVersion = reply.CatalogVersion
		encoded.EndpointsVersion = reply.EndpointsVersion
		if reply.EndpointsVersion != request.GetEndpointsVersion() {
			encoded.Endpoints = encodeEndpoints(reply.Endpoints)
		}
	}
	if version := request.GetPeersVersion(); reply.IsHolder && reply.Peers.Version() != version {
		encodePeerUpdate(encoded, reply.Peers.UpdateSince(version))
	}
	encoded.GrantsVersion = reply.GrantsVersion
	if reply.GrantsVersion != 0 && reply.GrantsVersion == request.GetGrantsVersion() {
		// The instance has asked this address, so that it needs no other.
		encoded.HolderAddress = ""
		encoded.SameGrants = true
		encodePositions(encoded, reply.Grants)
		return encoded
	}
	encoded.Permits = encodeGrants(reply.Grants)
	return encoded
}

// decodeIndexed decodes the observations that a request gives by the place of their
// grant.
func decodeIndexed(request *link.PermitRequest, now time.Time) []keeperduty.IndexedObservation {
	var indexed []keeperduty.IndexedObservation
	failing := request.GetFailingMicros()
	for place, answered := range request.GetAnsweredMicros() {
		o := keeperduty.IndexedObservation{
			Place:      place,
			AnsweredAt: timeBefore(now, int64(answered)-1),
		}
		if place < len(failing) {
			o.FirstFailureAt = timeBefore(now, int64(failing[place])-1)
		}
		if !o.AnsweredAt.IsZero() || !o.FirstFailureAt.IsZero() {
			indexed = append(indexed, o)
		}
	}
	return indexed
}

func encodePeerUpdate(encoded *link.PermitReply, update keeper.PeerUpdate) {
	encoded.PeersVersion = update.Version
	encoded.PeersSince = update.Since
	encoded.PeersGone = update.Removed
	for _, p := range update.Added {
		encoded.Peers = append(encoded.Peers, &link.Peer{
			Address: p.Address,
			Domain:  string(p.Domain),
			Region:  string(p.Region),

			InstanceAddress: p.InstanceAddress,
		})
	}
}

func encodeEndpoints(specs []rosemarylb.EndpointSpec) []*link.Endpoint {
	var encoded []*link.Endpoint
	for _, e := range specs {
		encoded = append(encoded, &link.Endpoint{
			Id:      string(e.ID),
			Group:   string(e.Database),
			Address: e.Address,
			Domain:  string(e.Domain),
			Region:  string(e.Region),
			Slots:   uint32(e.Slots),
			Leaving: e.Leaving,
			Primary: e.Primary,
			Born:    e.Born,
		})
	}
	return encoded
}

func decodeEndpoints(endpoints []*link.Endpoint) []rosemarylb.EndpointSpec {
	var specs []rosemarylb.EndpointSpec
	for _, e := range endpoints {
		specs = append(specs, rosemarylb.EndpointSpec{
			ID:       rosemarylb.EndpointID(e.GetId()),
			Database: rosemarylb.DatabaseName(e.GetGroup()),
			Address:  e.GetAddress(),
			Domain:   rosemarylb.DomainName(e.GetDomain()),
			Region:   rosemarylb.RegionName(e.GetRegion()),
			Slots:    int(e.GetSlots()),
			Leaving:  e.GetLeaving(),
			Primary:  e.GetPrimary(),
			Born:     e.GetBorn(),
		})
	}
	return specs
}
