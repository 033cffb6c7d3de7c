//go:build review2

package harness2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainRows and drainRowBytes are the answer to a read of the item "history".
	drainRows     = 32
	drainRowBytes = 256 << 10
)

// drainReply lets clients read an item with many rows while the machines are stopped and
// started in turn.
func drainReply(c *caseRun) (broken bool) {
	d := newDeployment(c.rec, c.dir, c.root, 3)
	c.d = d
	row := strings.Repeat("x", drainRowBytes)
	d.group.rows = func(item, value string) []string {
		if item != "history" {
			return []string{value}
		}
		rows := make([]string, drainRows)
		for i := range rows {
			rows[i] = row
		}
		return rows
	}
	d.routes = []map[string]any{{
		"database": "ledger", "route_type": "primary", "service": d.group.name, "timeout_ms": 4000, "target_latency_ms": 500,
		"priority": 0, "max_staleness_ms": 0,
	}}
	d.configure()
	d.startBackends()
	d.startMachines()
	time.Sleep(time.Second)
	isPaced = true
	run := &drainRun{caseRun: c, termAt: map[*machine]time.Time{}}
	end := time.Now().Add(17 * time.Second)
	var clients sync.WaitGroup
	for i, m := range d.machines {
		for j := range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				run.readUntil(end, fmt.Sprintf("client-%d.%d", i+1, j+1), m)
			}()
		}
	}
	if c.trouble {
		time.Sleep(3 * time.Second)
		run.roll()
	}
	clients.Wait()
	c.rec.line("served: %d answers of %d rows", run.served, drainRows)
	if run.served == 0 {
		fatal(fmt.Errorf("no read was served"))
	}
	return run.broken
}

// drainRun is the state of a run of drainReply.
type drainRun struct {
	*caseRun

	mu     sync.Mutex
	termAt map[*machine]time.Time
	served int
	broken bool
}

// roll stops and starts the machines in turn.
func (r *drainRun) roll() {
	for _, m := range r.d.machines {
		r.mu.Lock()
		r.termAt[m] = time.Now()
		r.mu.Unlock()
		m.signal(syscall.SIGTERM)
		<-m.done
		m.start()
		r.d.awaitReady(m)
	}
}

// readUntil reads the item again and again, each time after the answer before.
func (r *drainRun) readUntil(end time.Time, name string, m *machine) {
	for time.Now().Before(end) {
		s, err := connect(r.rec, name, m.front(), "ledger")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for alive := true; alive && time.Now().Before(end); {
			sentAt := time.Now()
			id, answer := s.query("READ history")
			alive = !answer.lost
			r.count(m, id, answer, sentAt)
			time.Sleep(time.Millisecond)
		}
		s.close()
	}
}

// count counts an answer, or checks one that was lost.
func (r *drainRun) count(m *machine, id string, answer reply, sentAt time.Time) {
	endedAt := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !answer.lost {
		r.served++
		return
	}
	if r.cutShort(id, answer, sentAt, endedAt, r.termAt[m]) {
		r.broken = true
	}
}

// cutShort reports whether an answer was lost against the rule: a backend ran the request,
// which was sent no later than 3 s after the SIGTERM, and the connection ended without
// the complete answer, in the time from the SIGTERM until 1 s after the grace period.
func (c *caseRun) cutShort(id string, r reply, sentAt, endedAt, termAt time.Time) bool {
	ran := false
	c.d.group.mu.Lock()
	for _, e := range c.d.group.executions {
		ran = ran || e.id == id
	}
	c.d.group.mu.Unlock()
	c.rec.line("cut: %s got %d bytes and the end of the connection after %v, passed on %v", id, r.bytes, endedAt.Sub(sentAt), ran)
	if termAt.IsZero() || !ran || sentAt.After(termAt.Add(3*time.Second)) || endedAt.After(termAt.Add(7*time.Second)) {
		return false
	}
	c.rec.line("LOST: %s was passed on to a backend, and its answer ended after %d of %d bytes, %v after the SIGTERM", id,
		r.bytes, drainRows*(drainRowBytes+len("ROW \r\n")), endedAt.Sub(termAt))
	return true
}
