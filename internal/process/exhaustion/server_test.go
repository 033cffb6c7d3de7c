package exhaustion

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"rosemarylb/internal/message/link"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// idle is a member that sends nothing.
func idle(net.Conn) {
	time.Sleep(holdTime)
}

// sendHeader is a member that sends most of the header of an HTTP request.
func sendHeader(c net.Conn) {
	io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: host\r\nPadding: "+padding[:900<<10])
	time.Sleep(holdTime)
}

// The following tests guard against clients of the HTTP servers and of the server for
// instances.

func TestHTTPClientsOpenManyConnections(t *testing.T) {
	h := startHost(t)
	for _, address := range []string{h.readyAddress, h.metricsAddress} {
		disperse := runCrowd(t, address, 600, idle)
		h.checkLimits()
		disperse()
		h.checkServes()
	}
	checkStatus(t, "http://"+h.metricsAddress+"/metrics")
}

func TestHTTPClientsSendLargeHeaders(t *testing.T) {
	h := startHost(t)
	for _, address := range []string{h.readyAddress, h.metricsAddress} {
		disperse := runCrowd(t, address, 160, sendHeader)
		h.checkLimits()
		disperse()
		h.checkServes()
	}
	checkStatus(t, "http://"+h.metricsAddress+"/metrics")
}

func TestInstancesOpenManyConnections(t *testing.T) {
	h := startHost(t)
	disperse := runCrowd(t, h.controlAddress, 600, idle)
	h.checkLimits()
	disperse()
	h.checkServes()
	h.checkAsk(t)
}

// TestInstancesSendLargeMessages sends 1.5 GiB in messages of 3.9 MiB.
func TestInstancesSendLargeMessages(t *testing.T) {
	h := startHost(t)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for range 24 {
		client := h.newKeeperClient(t)
		for range 16 {
			calls.Go(func() {
				client.Ask(ctx, &link.PermitRequest{
					Address: padding + padding + padding + padding[:900<<10],
				})
			})
		}
	}
	calls.Wait()
	h.checkLimits()
	h.checkServes()
	h.checkAsk(t)
}

func (h *host) newKeeperClient(t *testing.T) link.KeeperClient {
	t.Helper()
	conn, err := grpc.NewClient(h.controlAddress, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
	})
	return link.NewKeeperClient(conn)
}

// checkAsk checks that the instance answers another one.
func (h *host) checkAsk(t *testing.T) {
	t.Helper()
	retry(t, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := h.newKeeperClient(t).Ask(ctx, &link.PermitRequest{
			From: "front-1",
		})
		return err
	})
}
