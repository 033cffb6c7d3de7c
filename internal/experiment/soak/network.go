package soak

import (
	"fmt"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// networkCount is the number of loopback networks that runs share, and
	// networksPerOctet how many of them have the same second number.
	networkCount     = 50_000
	networksPerOctet = 250
	// reservationPort is the port on which a run listens to reserve its network.
	reservationPort = 8780
)

// network is a loopback network of one run: 254 addresses, one for each instance.
type network struct {
	second, third uint64
}

// reserveNetwork reserves the network of a seed, or the next one if another run on
// this machine has it. The returned function releases it.
func reserveNetwork(seed uint64) (network, func(), error) {
	for i := range uint64(networkCount) {
		number := (seed + i) % networkCount
		n := network{
			second: 16 + number/networksPerOctet,
			third:  number % networksPerOctet,
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.255:%d", n.second, n.third, reservationPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return network{}, nil, errors.Wrap(err, "reserve a loopback network")
		}
		return n, func() {
			_ = l.Close()
		}, nil
	}
	return network{}, nil, errors.New("reserve a loopback network: other runs have them all")
}

// host returns the address of an instance.
func (n network) host(instance int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, instance+1)
}
