package path

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// IdleResult is the control traffic of each instance of an idle fleet, per second.
type IdleResult struct {
	// ProbedEndpoints is the mean number of endpoints that an instance probes.
	ProbedEndpoints float64
	// ProbeBytes counts the payload bytes of probes in both directions.
	ProbeBytes float64
	// InstanceBytes counts the payload bytes sent to other instances.
	InstanceBytes float64
	// PlatformCalls counts the calls of the platform; a watch is one call.
	PlatformCalls float64
}

// probedEndpointsPerInstance is the mean over three instances: the keeper of the
// database probes its three endpoints, and each of the other two probes its own.
const probedEndpointsPerInstance = 5.0 / 3

// MeasureIdle measures the control traffic of a fleet of three instances without
// callers.
func MeasureIdle(ctx context.Context, span time.Duration) (IdleResult, error) {
	f, stop, err := newFleet(ctx)
	if err != nil {
		return IdleResult{}, err
	}
	defer stop()
	time.Sleep(time.Second)
	probes, instances := endpointBytes(), sentInstanceBytes()
	calls := f.Platform.RequestCount()
	time.Sleep(span)
	instanceSeconds := span.Seconds() * float64(len(f.Instances))
	return IdleResult{
		ProbedEndpoints: probedEndpointsPerInstance,
		ProbeBytes:      float64(endpointBytes()-probes) / instanceSeconds,
		InstanceBytes:   float64(sentInstanceBytes()-instances) / instanceSeconds,
		PlatformCalls:   float64(f.Platform.RequestCount()-calls) / instanceSeconds,
	}, nil
}

// endpointBytes returns the bytes sent to and received from endpoints so far.
func endpointBytes() uint64 {
	return metrics.GetOrCreateCounter(`rosemarylb_endpoint_sent_bytes_total`).Get() +
		metrics.GetOrCreateCounter(`rosemarylb_endpoint_received_bytes_total`).Get()
}

// sentInstanceBytes returns the bytes sent to other instances so far.
func sentInstanceBytes() uint64 {
	return metrics.GetOrCreateCounter(`rosemarylb_instance_sent_bytes_total{region="same"}`).Get() +
		metrics.GetOrCreateCounter(`rosemarylb_instance_sent_bytes_total{region="other"}`).Get()
}
