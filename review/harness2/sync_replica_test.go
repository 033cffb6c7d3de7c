//go:build review2

package harness2

import (
	"fmt"
	"sync"
	"time"
)

// syncReplica lets clients write to a service with sync_replicas 1 while one replica is
// replaced as planned and the primary crashes.
func syncReplica(c *caseRun) (broken bool) {
	d := newDeployment(c.rec, c.dir, c.root, 3)
	c.d = d
	d.group.sync = true
	d.routes = []map[string]any{{
		"database": "ledger", "route_type": "primary", "service": d.group.name, "timeout_ms": 800, "target_latency_ms": 500,
		"priority": 0, "max_staleness_ms": 0,
	}}
	d.configure()
	d.startBackends()
	near, far := d.group.backends["i-2"], d.group.backends["i-3"]
	// 2 and 40 ms behind.
	d.group.mu.Lock()
	d.group.lag = 0
	near.extraLag, far.extraLag = 2*time.Millisecond, 40*time.Millisecond
	d.group.mu.Unlock()
	d.startMachines()
	time.Sleep(time.Second)
	var mu sync.Mutex
	acked := map[string]time.Time{}
	end := time.Now().Add(9 * time.Second)
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			name := fmt.Sprintf("client-%d", i+1)
			for n := 0; time.Now().Before(end); n++ {
				s, err := connect(c.rec, name, d.machines[i%3].front(), "ledger")
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for time.Now().Before(end) {
					id, r := s.query(fmt.Sprintf("WRITE k%d v%d", i, n))
					if !r.done() {
						break
					}
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
				}
				s.close()
			}
		}()
	}
	if c.trouble {
		time.Sleep(2 * time.Second)
		d.rec.line("trouble: i-2 is to be replaced, i-4 starts")
		d.startBackend("i-4")
		d.group.mu.Lock()
		d.group.backends["i-4"].extraLag = 40 * time.Millisecond
		d.group.mu.Unlock()
		time.Sleep(time.Second)
		d.group.mu.Lock()
		near.state = "draining"
		d.group.mu.Unlock()
		near.register(d.platform)
		d.rec.line("trouble: i-2 drains, and goes on receiving and counting")
		time.Sleep(1500 * time.Millisecond)
		d.group.backends["i-1"].crash()
	}
	clients.Wait()
	time.Sleep(time.Second)
	return d.lostCommits(acked)
}

// lostCommits reports whether a write that was acknowledged isn't in the log of the backend
// that leads.
func (d *deployment) lostCommits(acked map[string]time.Time) (broken bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	kept := map[string]bool{}
	for _, c := range d.group.leader.log {
		for _, id := range c.ids {
			kept[id] = true
		}
	}
	lost := 0
	for id, at := range acked {
		if !kept[id] {
			lost++
			d.rec.line("LOST: %s was acknowledged at %.3f and isn't in the log of %s", id, at.Sub(d.rec.start).Seconds(),
				d.group.leader.id)
		}
	}
	for _, b := range d.group.backends {
		d.rec.line("backend: %s has %d commits, state %s", b.id, len(b.log), b.state)
	}
	d.rec.line("acknowledged %d, lost %d", len(acked), lost)
	if len(acked) == 0 {
		fatal(fmt.Errorf("no write was acknowledged"))
	}
	return lost > 0
}
