//go:build review

package standin

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/experiment/soak"
	"rosemarylb/internal/standin/line"
)

const (
	// cutTime is how long the store's answers don't reach the machine: for_s of
	// core_cut is 5.5 s.
	cutTime = 4 * time.Second
	// writers is the number of machines through which clients write.
	writers = 3
)

// read is a read of a primary route and its group.
type read struct {
	answer
	group string
}

// handedBack stops the machine that holds the duty just after the store's answers
// stop reaching it, while a primary is replaced.
func handedBack(folder string, trouble bool) (bool, error) {
	d, err := newDeployment(shape{
		machines:      8,
		services:      3,
		statementTime: 5 * time.Millisecond,
		lag:           20 * time.Millisecond,
		promoteDelay:  600 * time.Millisecond,
		connections:   16,
		routeTimeout:  800 * time.Millisecond,
	}, folder)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	var acknowledged []write
	var reads []read
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for n := range len(d.machines) * len(d.groupNames) {
		if n%len(d.machines) >= len(d.machines)-writers {
			clients.Go(func() {
				d.runWriter(n, stopClients, func(w write) {
					mu.Lock()
					defer mu.Unlock()
					acknowledged = append(acknowledged, w)
				})
			})
			continue
		}
		clients.Go(func() {
			d.runPrimaryReader(n, stopClients, func(r read) {
				mu.Lock()
				defer mu.Unlock()
				reads = append(reads, r)
			})
		})
	}
	time.Sleep(9 * time.Second)
	if trouble {
		if err := d.handBack(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	close(stopClients)
	clients.Wait()
	d.noteRuns()
	d.notef("%d writes and %d reads were acknowledged", len(acknowledged), len(reads))
	if len(acknowledged) == 0 || len(reads) == 0 {
		return false, errors.New("no write or no read was acknowledged")
	}
	return d.countStaleReads(acknowledged, reads) > 0, nil
}

// handBack replaces a primary and stops the holder, whose path from the store is cut.
func (d *deployment) handBack() error {
	group := d.groupNames[0]
	leaving := d.primaryOf(group)
	if _, err := d.startBackend(group, group+"-new", leaving.zone); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	m := d.holder()
	d.notef("the store's answers no longer reach %s, which last wrote to the store", m.name)
	m.storeLink.SetFaults(soak.LinkFaults{HoldFromTarget: true})
	d.notef("SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	d.notef("%s, the primary of %s, drains", leaving.server.ID(), group)
	d.drain(leaving)
	time.Sleep(cutTime)
	m.storeLink.SetFaults(soak.LinkFaults{})
	d.notef("the store's answers reach %s again", m.name)
	return nil
}

// runPrimaryReader reads from one service through one machine until stop is closed.
func (d *deployment) runPrimaryReader(number int, stop <-chan struct{}, report func(read)) {
	m := d.machines[number%len(d.machines)]
	group := d.groupNames[number/len(d.machines)%len(d.groupNames)]
	for !isClosed(stop) {
		s, err := connect(m, group+"-primary")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for !isClosed(stop) {
			a := s.do("READ item0", 4*time.Second)
			d.noteAnswer(m, a)
			if a.code == "" {
				break
			}
			if a.code == "OK" {
				report(read{
					answer: a,
					group:  group,
				})
			}
			time.Sleep(readPause)
		}
		s.close()
	}
}

// readPause is the pause between two reads of a client.
const readPause = 10 * time.Millisecond

// countStaleReads applies STALE to the reads of primary routes: each has to run on a
// log with all commits that were acknowledged before the read was sent, but for those
// that a promote rolled back.
func (d *deployment) countStaleReads(acknowledged []write, reads []read) int {
	stale := 0
	for name, g := range d.groups {
		commits := map[string]line.Commit{}
		for _, c := range g.History() {
			commits[c.IDs[len(c.IDs)-1]] = c
		}
		runs := map[string]line.Execution{}
		for _, e := range g.Executions() {
			runs[e.ID+" "+e.Signature] = e
		}
		for _, r := range reads {
			run, found := runs[r.id+" "+r.signature]
			if r.group != name || !found {
				continue
			}
			missing := 0
			age := time.Duration(0)
			for _, w := range acknowledged {
				c := commits[w.id]
				if w.group == name && !c.RolledBack && w.answeredAt.Before(r.sentAt) && !run.HasCommit(c) {
					missing++
					age = max(age, r.sentAt.Sub(w.answeredAt))
				}
			}
			if missing > 0 {
				stale++
				d.noteAtf(r.sentAt, "%s ran at %s without %d commits that were acknowledged up to %.1f ms before it was sent: BREAKS STALE",
					r.id, run.Server, missing, age.Seconds()*1000)
			}
		}
	}
	fmt.Printf("STALE: %d of %d reads of primary routes\n", stale, len(reads))
	return stale
}
