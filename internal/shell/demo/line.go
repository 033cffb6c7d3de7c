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
	"rosemarylb/internal/standin/objects"
	"rosemarylb/platform"

	"github.com/cockroachdb/errors"
)

const (
	// lineInstances and lineEndpoints are how many there are of each.
	lineInstances = 2
	lineEndpoints = 3
	// replicaLag is how much later replicas receive a commit.
	replicaLag = 20 * time.Millisecond
	// readyPause is the time between two looks whether an instance is ready.
	readyPause = 20 * time.Millisecond
)

// Line is a service behind the line protocol, on stand-ins of the users'
// platform.
type Line struct {
	callers  []string
	ready    []string
	metrics  []string
	cleanups []func()
}

// NewLine starts a service on loopback addresses. The returned function stops
// everything.
func NewLine(log *slog.Logger) (*Line, func(), error) {
	l := &Line{}
	if err := l.start(log); err != nil {
		l.stop()
		return nil, nil, err
	}
	return l, l.stop, nil
}

func (l *Line) stop() {
	for i := len(l.cleanups) - 1; i >= 0; i-- {
		l.cleanups[i]()
	}
	l.cleanups = nil
}

func (l *Line) start(log *slog.Logger) error {
	group := line.NewGroup("jobbook", line.WithLag(replicaLag))
	store := objects.NewStore(func(_, id string) bool {
		return group.Promote(id)
	})
	for i := range lineEndpoints {
		s, err := line.Start(group, "endpoint-"+strconv.Itoa(i))
		if err != nil {
			return err
		}
		l.cleanups = append(l.cleanups, s.Stop)
		store.Put("servers", s.ID(), map[string]any{
			"service": "jobbook", "address": s.Address(), "zone": "kandy", "slots": 2, "state": "ready", "born": 1,
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
	server := httptest.NewServer(store)
	l.cleanups = append(l.cleanups, server.CloseClientConnections)
	for i := range lineInstances {
		if err := l.startInstance(i, strings.TrimPrefix(server.URL, "http://"), log); err != nil {
			return err
		}
	}
	return nil
}

func (l *Line) startInstance(number int, store string, log *slog.Logger) error {
	var free [5]string
	for i := range free {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		free[i] = address
	}
	_, relayPort, _ := net.SplitHostPort(free[3])
	_, metricsPort, _ := net.SplitHostPort(free[4])
	relay, _ := strconv.Atoi(relayPort)
	text, err := json.Marshal(map[string]any{
		"node_name": "instance-" + strconv.Itoa(number), "ip": "127.0.0.1", "zone": "kandy", "region": "hills",
		"zones":        map[string]string{"kandy": "hills"},
		"listen_addrs": map[string]string{"front": free[0], "ready": free[1], "control": free[2]},
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
	l.callers = append(l.callers, free[0])
	l.ready = append(l.ready, free[1])
	l.metrics = append(l.metrics, free[4])
	return nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	defer func() {
		_ = listener.Close()
	}()
	return listener.Addr().String(), nil
}

// RunScenario confirms an install through one instance and reads it back through
// another, and returns a report.
func (l *Line) RunScenario() (string, error) {
	end := time.Now().Add(scenarioTimeout)
	for _, address := range l.ready {
		if err := awaitReady(address, end); err != nil {
			return "", err
		}
	}
	written, err := converse(l.callers[0], "CONNECT primary fitter", "QUERY q1 WRITE install-1 hall-mirror-820mm")
	if err != nil {
		return "", err
	}
	read, err := converse(l.callers[len(l.callers)-1], "CONNECT primary clerk", "QUERY q2 READ install-1")
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("confirmed an install through %s:\n%sread it through %s:\n%s", l.callers[0], written,
		l.callers[len(l.callers)-1], read), nil
}

func awaitReady(address string, end time.Time) error {
	for time.Now().Before(end) {
		r, err := http.Get("http://" + address + "/ready")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPause)
	}
	return errors.Newf("the instance at %s is not ready after %s", address, scenarioTimeout)
}

// converse sends messages and returns what was sent and answered.
func converse(address string, messages ...string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "connect")
	}
	defer func() {
		_ = c.Close()
	}()
	_ = c.SetDeadline(time.Now().Add(scenarioTimeout))
	var b strings.Builder
	in := bufio.NewReader(c)
	for _, m := range messages {
		fmt.Fprintf(&b, "  > %s\n", m)
		if _, err := fmt.Fprintf(c, "%s\r\n", m); err != nil {
			return "", errors.Wrap(err, "send")
		}
		for {
			text, err := in.ReadString('\n')
			if err != nil {
				return "", errors.Wrap(err, "receive")
			}
			text = strings.TrimRight(text, "\r\n")
			fmt.Fprintf(&b, "  < %s\n", text)
			if strings.HasPrefix(text, "ERROR") {
				return "", errors.Newf("refused: %s", text)
			}
			if strings.HasPrefix(text, "READY") {
				break
			}
		}
	}
	return b.String(), nil
}

// Hints tells what to try while the demo runs.
func (l *Line) Hints() string {
	var b strings.Builder
	b.WriteString("\nthe service is up; connect a text client to one of:\n")
	for _, c := range l.callers {
		fmt.Fprintf(&b, "  %s\n", c)
	}
	fmt.Fprintf(&b, "try: CONNECT read-your-writes me; QUERY q3 BEGIN; QUERY q4 READ install-1; QUERY q5 COMMIT\n"+
		"state: http://%s/dump\n", l.metrics[0])
	return b.String()
}
