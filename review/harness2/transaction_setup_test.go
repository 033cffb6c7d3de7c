//go:build review2

package harness2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a client's operation.
type attempt struct {
	ids     []string
	promise string
}

// transactionSetup lets clients run transactions with a prepared write while the primary
// is replaced as planned.
func transactionSetup(c *caseRun) (broken bool) {
	d := newDeployment(c.rec, c.dir, c.root, 3)
	c.d = d
	d.routes = []map[string]any{{
		"database": "ledger", "route_type": "primary", "service": d.group.name, "timeout_ms": 800, "target_latency_ms": 500,
		"priority": 0, "max_staleness_ms": 0,
	}}
	d.configure()
	d.startBackends()
	d.startMachines()
	time.Sleep(time.Second)
	var mu sync.Mutex
	var attempts []attempt
	end := time.Now().Add(9 * time.Second)
	var clients sync.WaitGroup
	for i := range 9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 70 * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				a := transferOnce(c.rec, fmt.Sprintf("client-%d.%d", i+1, n), d.machines[i%3].front(), time.Duration(400+100*i)*time.Millisecond)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
			}
		}()
	}
	if c.trouble {
		time.Sleep(3 * time.Second)
		d.release(d.group.backends["i-1"], "i-4")
	}
	clients.Wait()
	time.Sleep(time.Second)
	return d.refusedButKept(attempts) || d.outsideTransaction(attempts)
}

// release replaces a backend as planned: the new one starts first and receives the log,
// then the old one drains.
func (d *deployment) release(old *backend, id string) {
	d.rec.line("trouble: %s is to be replaced, %s starts", old.id, id)
	d.startBackend(id)
	time.Sleep(time.Second)
	d.group.mu.Lock()
	old.state = "draining"
	d.group.mu.Unlock()
	d.rec.line("trouble: %s drains", old.id)
	old.register(d.platform)
}

// transferOnce connects, prepares a write and runs one transaction that uses it after
// another write and a pause.
func transferOnce(rec *record, name, address string, pause time.Duration) attempt {
	var a attempt
	s, err := connect(rec, name, address, "ledger")
	if err != nil {
		rec.line("client: %s: %v", name, err)
		time.Sleep(50 * time.Millisecond)
		return a
	}
	defer s.close()
	for _, text := range []string{
		"PREPARE s1 WRITE shape-" + strings.ReplaceAll(name, ".", "-"), "BEGIN", "WRITE a-" + name + " v1", "pause",
		"EXECUTE s1 b-" + name + " v2", "COMMIT",
	} {
		if text == "pause" {
			time.Sleep(pause)
			continue
		}
		id, r := s.query(text)
		a.ids = append(a.ids, id)
		if r.isPromise() {
			a.promise = id + ": " + r.code
		}
		if !r.done() {
			return a
		}
	}
	return a
}

// refusedButKept reports whether a commit in the log of the last primary has a write of an
// attempt for which the client was promised that nothing is kept.
func (d *deployment) refusedButKept(attempts []attempt) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	kept := map[string]string{}
	for i, c := range d.group.leader.log {
		for _, id := range c.ids {
			kept[id] = fmt.Sprintf("%d.%d", c.term, i+1)
		}
	}
	broken, served := false, 0
	for _, a := range attempts {
		if a.promise == "" {
			served++
			continue
		}
		for _, id := range a.ids {
			if at, found := kept[id]; found {
				d.rec.line("REFUSED: the client got the promise %s, and %s is committed as %s", a.promise, id, at)
				broken = true
			}
		}
	}
	d.rec.line("attempts: %d, without a promise %d", len(attempts), served)
	if served == 0 {
		fatal(fmt.Errorf("no attempt was served"))
	}
	return broken
}

// outsideTransaction reports whether statements of one transaction ran on different
// connections or outside a transaction.
func (d *deployment) outsideTransaction(attempts []attempt) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	where := map[string]execution{}
	for _, e := range d.group.executions {
		where[e.id] = e
	}
	broken := false
	for _, a := range attempts {
		var first *execution
		for _, id := range a.ids {
			e, ran := where[id]
			if !ran {
				continue
			}
			if e.transaction == 0 || first != nil && first.connection != e.connection {
				d.rec.line("PINNED: %s ran on %s connection %d transaction %d", id, e.backend, e.connection, e.transaction)
				broken = true
			}
			if first == nil {
				first = &e
			}
		}
	}
	return broken
}
