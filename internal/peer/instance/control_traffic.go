package instance

import (
	"rosemarylb/internal/process/meter"

	"google.golang.org/protobuf/proto"
)

// messageHeaderBytes is the size of the header of a gRPC message. The headers of HTTP/2
// are not counted.
const messageHeaderBytes = 5

// controlTraffic counts the messages about permits that are exchanged with one instance,
// and the configurations in them apart.
type controlTraffic struct {
	permits, configuration meter.Flow
}

// newControlTraffic returns the counters for an instance at a location.
func newControlTraffic(m *meter.Meter, l meter.Location) controlTraffic {
	return controlTraffic{
		permits:       m.FlowTo(meter.KindPermits, l),
		configuration: m.FlowTo(meter.KindConfiguration, l),
	}
}

// newControlTrafficTo returns the counters for the instance at an address.
func newControlTrafficTo(m *meter.Meter, address string) controlTraffic {
	return controlTraffic{
		permits:       m.FlowToAddress(meter.KindPermits, address),
		configuration: m.FlowToAddress(meter.KindConfiguration, address),
	}
}

// sent counts a message that was sent, with a configuration of the given size.
func (t controlTraffic) sent(message proto.Message, configurationBytes int) {
	t.permits.Sent(messageHeaderBytes + proto.Size(message) - configurationBytes)
	t.configuration.Sent(configurationBytes)
}

// received counts a message that was received, with a configuration of the given size.
func (t controlTraffic) received(message proto.Message, configurationBytes int) {
	t.permits.Received(messageHeaderBytes + proto.Size(message) - configurationBytes)
	t.configuration.Received(configurationBytes)
}
