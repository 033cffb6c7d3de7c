package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/loopback"
	"rosemarylb/internal/standin/objects"
	"rosemarylb/platform"

	"github.com/cockroachdb/errors"
)

const (
	instanceCount = 2
	endpointCount = 3
	// replicaLag is the replication delay of the replicas.
	replicaLag = 20 * time.Millisecond
	// readyPollInterval is the time between two readiness checks of an instance.
	readyPollInterval = 20 * time.Millisecond
)

// LineService is a running service whose callers use the line protocol, with
// stand-ins for the users' platform.
type LineService struct {
	callerAddresses  []string
	readyAddresses   []string
	metricsAddresses []string
	cleanups         []func()
}

// NewLineService starts a service on loopback addresses. The returned function
// stops it.
func NewLineService(log *slog.Logger) (*LineService, func(), error) {
	l := &LineService{}
	if err := l.start(log); err != nil {
		l.stop()
		return nil, nil, err
	}
	return l, l.stop, nil
}

func (l *LineService) stop() {
	for i := len(l.cleanups) - 1; i >= 0; i-- {
		l.cleanups[i]()
	}
	l.cleanups = nil
}

func (l *LineService) start(log *slog.Logger) error {
	group := line.NewGroup("jobbook", line.WithLag(replicaLag))
	store := objects.NewStore(func(_, id string) bool {
		return group.Promote(id)
	})
	for i := range endpointCount {
		server, err := line.StartServer(group, "endpoint-"+strconv.Itoa(i))
		if err != nil {
			return err
		}
		l.cleanups = append(l.cleanups, server.Stop)
		store.Put("servers", server.ID(), map[string]any{
			"service": "jobbook", "address": server.Address(), "zone": "kandy", "slots": 2, "state": "ready", "born": 1,
		})
	}
	var routes []map[string]any
	for _, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
		routes = append(routes, map[string]any{
			"database": strings.ReplaceAll(kind, "_", "-"), "route_type": kind, "service": "jobbook",
			"timeout_ms": 2000, "max_staleness_ms": 1500,
		})
	}
	store.Put("config", "main", map[string]any{
		"version": 1, "routes": routes, "limits": map[string]any{"tx_idle_ms": 30000},
		"services": []map[string]any{{"name": "jobbook", "max_conns": 16}},
	})
	storeServer := httptest.NewServer(store)
	l.cleanups = append(l.cleanups, storeServer.CloseClientConnections)
	for i := range instanceCount {
		if err := l.startInstance(i, strings.TrimPrefix(storeServer.URL, "http://"), log); err != nil {
			return err
		}
	}
	return nil
}

func (l *LineService) startInstance(number int, store string, log *slog.Logger) error {
	var addresses [5]string
	for i := range addresses {
		address, err := loopback.Address()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	host, relayPort, _ := net.SplitHostPort(addresses[3])
	_, metricsPort, _ := net.SplitHostPort(addresses[4])
	relay, _ := strconv.Atoi(relayPort)
	text, err := json.Marshal(map[string]any{
		"node_name": "instance-" + strconv.Itoa(number), "ip": host, "zone": "kandy", "region": "hills",
		"zones":        map[string]string{"kandy": "hills"},
		"listen_addrs": map[string]string{"front": addresses[0], "ready": addresses[1], "control": addresses[2]},
		"port_range":   []int{relay},
		"bounds":       map[string]int{"grace_s": 5},
		"limits":       map[string]int{"memory_mb": 256},
		"platform":     map[string]string{"address": store},
		"cloud_api":    map[string]string{"address": store},
	})
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	settings, err := platform.ParseSettings(text)
	if err != nil {
		return err
	}
	_, stop, err := platform.NewInstance(settings, metricsPort, log)
	if err != nil {
		return err
	}
	l.cleanups = append(l.cleanups, stop)
	l.callerAddresses = append(l.callerAddresses, addresses[0])
	l.readyAddresses = append(l.readyAddresses, addresses[1])
	l.metricsAddresses = append(l.metricsAddresses, addresses[4])
	return nil
}

// RunScenario writes an item through the first instance, reads it back through
// the last one and returns a report.
func (l *LineService) RunScenario() (string, error) {
	deadline := time.Now().Add(scenarioTimeout)
	for _, address := range l.readyAddresses {
		if err := awaitReady(address, deadline); err != nil {
			return "", err
		}
	}
	written, err := exchange(l.callerAddresses[0], "CONNECT primary fitter", "QUERY q1 WRITE install-1 hall-mirror-820mm")
	if err != nil {
		return "", err
	}
	read, err := exchange(l.callerAddresses[len(l.callerAddresses)-1], "CONNECT primary clerk", "QUERY q2 READ install-1")
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("confirmed an install through %s:\n%sread it through %s:\n%s", l.callerAddresses[0], written,
		l.callerAddresses[len(l.callerAddresses)-1], read), nil
}

// awaitReady polls the readiness of an instance until the deadline.
func awaitReady(address string, deadline time.Time) error {
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + address + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Newf("the instance at %s is not ready after %s", address, scenarioTimeout)
}

// exchange sends messages over one connection, waits for READY after each and
// returns a transcript. An ERROR line ends it with an error.
func exchange(address string, messages ...string) (string, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "connect")
	}
	defer func() {
		_ = connection.Close()
	}()
	_ = connection.SetDeadline(time.Now().Add(scenarioTimeout))
	var transcript strings.Builder
	reader := bufio.NewReader(connection)
	for _, message := range messages {
		fmt.Fprintf(&transcript, "  > %s\n", message)
		if _, err := fmt.Fprintf(connection, "%s\r\n", message); err != nil {
			return "", errors.Wrap(err, "send")
		}
		for {
			text, err := reader.ReadString('\n')
			if err != nil {
				return "", errors.Wrap(err, "receive")
			}
			text = strings.TrimRight(text, "\r\n")
			fmt.Fprintf(&transcript, "  < %s\n", text)
			if strings.HasPrefix(text, "ERROR") {
				return "", errors.Newf("the instance returned an error: %s", text)
			}
			if strings.HasPrefix(text, "READY") {
				break
			}
		}
	}
	return transcript.String(), nil
}

// Instructions returns how to connect to the running demo and what to try.
func (l *LineService) Instructions() string {
	var b strings.Builder
	b.WriteString("\nthe service is up; connect a text client to one of:\n")
	for _, address := range l.callerAddresses {
		fmt.Fprintf(&b, "  %s\n", address)
	}
	fmt.Fprintf(&b, "try: CONNECT read-your-writes me; QUERY q3 BEGIN; QUERY q4 READ install-1; QUERY q5 COMMIT\n"+
		"state: http://%s/dump\n", l.metricsAddresses[0])
	return b.String()
}
