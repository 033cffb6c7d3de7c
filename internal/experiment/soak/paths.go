package soak

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"

	"rosemarylb/internal/standin/objects"
)

// maxSeeds is the number of instances that others ask for the holder.
const maxSeeds = 3

// startLinks starts the links of an instance to endpoints and other instances, and its view
// of the store.
func (h *Harness) startLinks(i *instance, number int, o Options) error {
	var endpoints, peers addressPairs
	for _, e := range h.endpoints {
		l, err := h.startLink(e.server.Address())
		if err != nil {
			return err
		}
		i.endpointLinks[e.server.ID()] = l
		endpoints = append(endpoints, e.server.Address(), l.Address())
	}
	for other := range o.Instances {
		if other == number || !o.DeposedHolders {
			continue
		}
		l, err := h.startLink(h.controlAddress(other))
		if err != nil {
			return err
		}
		i.peerLinks[instanceName(other)] = l
		peers = append(peers, h.controlAddress(other), l.Address())
	}
	i.storeView = h.store.View(func(kind string, spec json.RawMessage) json.RawMessage {
		switch kind {
		case "servers":
			return endpoints.replace(spec)
		case proxyKind:
			return peers.replace(spec)
		default:
			return spec
		}
	}, objects.WithWrites(func(_ string, spec json.RawMessage) json.RawMessage {
		return peers.reversed().replace(spec)
	}))
	return nil
}

// startLink starts a link that ends with the harness.
func (h *Harness) startLink(target string) (*Link, error) {
	l, stop, err := NewLink(target)
	if err != nil {
		return nil, err
	}
	h.cleanups = append(h.cleanups, stop)
	return l, nil
}

func instanceName(number int) string {
	return "front-" + strconv.Itoa(number)
}

// controlAddress returns the address at which other instances reach an instance.
func (h *Harness) controlAddress(number int) string {
	return net.JoinHostPort(h.network.host(number), "8782")
}

// seedAddresses returns the addresses that instances ask for the holder of the lease.
func (h *Harness) seedAddresses(instances int) []string {
	var seeds []string
	for number := range min(instances, maxSeeds) {
		seeds = append(seeds, h.controlAddress(number))
	}
	return seeds
}

// addressPairs are addresses, each followed by the one that replaces it.
type addressPairs []string

// replace returns a text with the addresses replaced.
func (p addressPairs) replace(spec json.RawMessage) json.RawMessage {
	var quoted []string
	for _, address := range p {
		quoted = append(quoted, strconv.Quote(address))
	}
	return json.RawMessage(strings.NewReplacer(quoted...).Replace(string(spec)))
}

// reversed returns pairs that bring back the addresses.
func (p addressPairs) reversed() addressPairs {
	reversed := slices.Clone(p)
	slices.Reverse(reversed)
	return reversed
}
