package instance

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/meter"
)

// PermitRequesterOption changes a PermitRequester under construction.
type PermitRequesterOption func(*PermitRequester)

// WithPermitLogger sets the logger. The default discards everything.
func WithPermitLogger(l *slog.Logger) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.log = l
	}
}

// WithPermitAddresses sets the host:port at which other instances reach this one,
// and where it accepts queries that they relay.
func WithPermitAddresses(address string, relay rosemarylb.RelayPeer) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.address = address
		pr.relayPeer = relay
	}
}

// WithCapacity sets the processor time that the instance may use, in thousandths of
// a core. The default is 0, unknown.
func WithCapacity(millicores int) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.capacity = millicores
	}
}

// WithStoreReports sets the time of the store's last answer, which is reported to
// the keeper, and where the keeper's notifications of the store are stored.
func WithStoreReports(
	answeredAt *duty.Latest[time.Time], notification *duty.Latest[keeper.Notification],
) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.storeAnsweredAt = answeredAt
		pr.notification = notification
	}
}

// WithCatalogExchange sets the configuration that this instance has, which is sent to
// a keeper with an older one, and the function that receives the keeper's. The
// function must not block.
func WithCatalogExchange(
	current *duty.Latest[rosemarylb.Catalog], onCatalog func(rosemarylb.Catalog),
) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.catalogs.current = current
		pr.catalogs.onCatalog = onCatalog
	}
}

// WithSeeds sets the host:port of instances that are asked for the lease holder while
// neither the keeper nor the store answers. The instance's own address is skipped.
func WithSeeds(addresses []string) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.seeds = addresses
	}
}

// WithMeter sets the meter that counts the messages, and is told of the peers. The
// default counts them without their distance.
func WithMeter(m *meter.Meter) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.meter = m
	}
}

// WithKeeperAddress sets where the duty stores the lease holder that it asks.
func WithKeeperAddress(found *duty.Latest[KeeperAddress]) PermitRequesterOption {
	return func(pr *PermitRequester) {
		pr.keeperFound = found
	}
}
