//go:build review

package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stopSessions is the number of sessions for each machine, half of those on
	// kmlf-pool, where 296 are open at 8 machines.
	stopSessions = 18
	// stopGap is the pause between two SIGTERMs.
	stopGap = 9 * time.Second
	// stoppedMachines is the number of machines that are stopped, one after the other.
	stoppedMachines = 5
	// refusedPause is the pause of a client after an error.
	refusedPause = 250 * time.Millisecond
	// lossSlack is loss_slack_ms of the sheets.
	lossSlack = 200 * time.Millisecond
	// clientDeadline is the deadline of history-lookup.
	clientDeadline = 5 * time.Second
)

// cut is a request whose connection ended without a complete answer.
type cut struct {
	answer
	machine *machine
}

// stopUnderLoad stops machines in turn, while clients send one read after the other
// on sessions that they keep open.
func stopUnderLoad(folder string, trouble bool) (bool, error) {
	d, err := newDeployment(shape{
		machines:      8,
		services:      3,
		statementTime: 100 * time.Millisecond,
		lag:           20 * time.Millisecond,
		promoteDelay:  600 * time.Millisecond,
		connections:   16,
		routeTimeout:  1500 * time.Millisecond,
	}, folder)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	var cuts []cut
	counts := map[string]int{}
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for n := range stopSessions * len(d.machines) {
		clients.Go(func() {
			d.runReader(n, stopClients, func(m *machine, a answer) {
				mu.Lock()
				defer mu.Unlock()
				counts[a.code]++
				if a.code == "" {
					cuts = append(cuts, cut{
						answer:  a,
						machine: m,
					})
				}
			})
		})
	}
	time.Sleep(7 * time.Second)
	stoppedAt := map[*machine]time.Time{}
	for _, m := range d.machines[:stoppedMachines] {
		if trouble {
			d.notef("SIGTERM to %s", m.name)
			stoppedAt[m] = time.Now()
			m.signal(syscall.SIGTERM)
		}
		time.Sleep(stopGap)
	}
	time.Sleep((graceSeconds + 2) * time.Second)
	close(stopClients)
	clients.Wait()
	d.noteRuns()
	d.notef("answers by code: %v (without a complete answer: %d)", counts, len(cuts))
	if counts["OK"] == 0 {
		return false, fmt.Errorf("no request was served: %v", counts)
	}
	return d.countLost(cuts, stoppedAt) > 0, nil
}

// runReader sends reads on one session until stop is closed, each 2 ms after the
// answer to the one before. It opens another session after the end of one.
func (d *deployment) runReader(number int, stop <-chan struct{}, report func(*machine, answer)) {
	database := d.groupNames[number%len(d.groupNames)] + "-bounded_staleness"
	target := number
	for !isClosed(stop) {
		m := d.machines[target%len(d.machines)]
		target++
		if !m.takesConnections() {
			time.Sleep(linkDelay)
			continue
		}
		s, err := connect(m, database)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for !isClosed(stop) {
			a := s.do(fmt.Sprintf("READ item%d", number), clientDeadline)
			if a.code == "" && isIdleClose(a) {
				// The machine closed the session before it got the request.
				d.noteAnswer(m, a)
				break
			}
			d.noteAnswer(m, a)
			report(m, a)
			if a.code == "" {
				break
			}
			if a.code != "OK" {
				time.Sleep(refusedPause)
			}
		}
		s.close()
	}
}

// isIdleClose reports whether the session had ended before the request was written.
func isIdleClose(a answer) bool {
	return a.answeredAt.Sub(a.sentAt) < 3*linkDelay
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// countLost applies LOST to the requests that were cut, and notes each.
func (d *deployment) countLost(cuts []cut, stoppedAt map[*machine]time.Time) int {
	ran := map[string]time.Time{}
	for _, g := range d.groups {
		for _, e := range g.Executions() {
			ran[e.ID] = e.RanAt
		}
	}
	lost := 0
	for _, c := range cuts {
		term, stopped := stoppedAt[c.machine]
		since := c.answeredAt.Sub(term)
		age := c.answeredAt.Sub(c.sentAt)
		ranAt, passedOn := ran[c.id]
		lateWork := ranAt.Sub(term) > graceSeconds*time.Second*5/6 && c.sentAt.Sub(term) <= 3*time.Second
		counts := stopped && since > 0 && since < (graceSeconds+1)*time.Second && (passedOn || age > lossSlack) &&
			age < d.shape.routeTimeout && !lateWork
		if counts {
			lost++
		}
		d.noteAtf(c.sentAt, "%s sent to %s, %.3f s after its SIGTERM; connection ended without an answer after %.0f ms, %.3f s after the SIGTERM; passed on to a backend: %t; counts for LOST: %t",
			c.id, c.machine.name, c.sentAt.Sub(term).Seconds(), age.Seconds()*1000, since.Seconds(), passedOn, counts)
	}
	d.notef("LOST: %d requests", lost)
	fmt.Printf("LOST: %d requests\n", lost)
	return lost
}
