//go:build review

package standin

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
)

const (
	// cloudOutage is how long the promotion API is down: for_s of platform_down is
	// 4.5 s.
	cloudOutage = 4400 * time.Millisecond
	// freezeDelay is the time from the start of the outage to the freeze.
	freezeDelay = 2200 * time.Millisecond
	// freezeTime is how long the machine is frozen: for_s of node_freeze is 4 s.
	freezeTime = 3900 * time.Millisecond
	// crashTime is how long a primary is down: for_s of srv_crash is 7 s.
	crashTime = 6900 * time.Millisecond
)

// thawSlack is thaw_slack_ms of the sheets.
const thawSlack = 300 * time.Millisecond

// frozenHolder lets the primaries of all services crash while the promotion API is
// down, and freezes the machine that holds the duty meanwhile.
func frozenHolder(folder string, trouble bool) (bool, error) {
	d, err := newDeployment(shape{
		machines:      6,
		services:      3,
		statementTime: 6 * time.Millisecond,
		lag:           8 * time.Millisecond,
		promoteDelay:  300 * time.Millisecond,
		connections:   46,
		routeTimeout:  800 * time.Millisecond,
	}, folder)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	var acknowledged []write
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for n := range len(d.machines) * len(d.groupNames) {
		clients.Go(func() {
			d.runWriter(n, stopClients, func(w write) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged = append(acknowledged, w)
			})
		})
	}
	time.Sleep(8 * time.Second)
	var frozen *machine
	var thawedAt time.Time
	if trouble {
		d.mu.Lock()
		d.cloudSilentUntil = time.Now().Add(cloudOutage)
		d.mu.Unlock()
		d.notef("the promotion API is down for %s", cloudOutage)
		for _, g := range d.groupNames {
			b := d.primaryOf(g)
			d.notef("%s, the primary of %s, crashes", b.server.ID(), g)
			d.crash(b)
			time.AfterFunc(crashTime, func() {
				d.notef("%s starts again: %v", b.server.ID(), d.restart(b))
			})
		}
		time.Sleep(freezeDelay)
		frozen = d.holder()
		d.notef("%s, which last wrote to the store, freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
		thawedAt = time.Now()
		d.notef("%s goes on", frozen.name)
	}
	time.Sleep(6 * time.Second)
	close(stopClients)
	clients.Wait()
	d.noteRuns()
	d.notef("%d writes were acknowledged", len(acknowledged))
	if len(acknowledged) == 0 {
		return false, errors.New("no write was acknowledged")
	}
	orders := d.countStaleOrders()
	commits := d.countLateCommits(acknowledged, frozen, thawedAt)
	return orders+commits > 0, nil
}

// write is an acknowledged write and the machine that acknowledged it.
type write struct {
	answer
	group   string
	machine *machine
}

// runWriter writes to one service through one machine until stop is closed.
func (d *deployment) runWriter(number int, stop <-chan struct{}, report func(write)) {
	m := d.machines[number%len(d.machines)]
	group := d.groupNames[number/len(d.machines)%len(d.groupNames)]
	for !isClosed(stop) {
		s, err := connect(m, group+"-primary")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for !isClosed(stop) {
			a := s.do(fmt.Sprintf("WRITE item%d d%d", number, time.Now().UnixNano()), 6*time.Second)
			d.noteAnswer(m, a)
			if a.code == "" {
				break
			}
			if a.code == "OK" {
				report(write{
					answer:  a,
					group:   group,
					machine: m,
				})
			}
			time.Sleep(writePause)
		}
		s.close()
	}
}

// writePause is the pause between two writes of a client.
const writePause = 50 * time.Millisecond

// countStaleOrders applies ONE to the promotions that the platform received.
func (d *deployment) countStaleOrders() int {
	broken, highest := 0, uint64(0)
	holders := map[uint64]string{}
	all := d.store.PromotionRequests()
	for _, p := range all {
		verdict := "in order"
		if p.Token < highest || holders[p.Token] != "" && holders[p.Token] != p.Holder {
			verdict = "BREAKS ONE"
			broken++
		}
		highest = max(highest, p.Token)
		holders[p.Token] = p.Holder
		d.noteAtf(p.ReceivedAt, "promote %s of %s by %s, token %d, highest before or now %d: %s",
			p.Endpoint, p.Group, p.Holder, p.Token, highest, verdict)
	}
	fmt.Printf("ONE: %d of %d promotions with a lower token than the platform had seen\n", broken, len(all))
	return broken
}

// countLateCommits applies ONE to the acknowledged writes: none may be committed at
// an old primary after a promote has taken effect. Those through the machine that was
// frozen don't count.
func (d *deployment) countLateCommits(acknowledged []write, frozen *machine, thawedAt time.Time) int {
	late, lost := 0, 0
	for name, g := range d.groups {
		commits := map[string]line.Commit{}
		for _, c := range g.History() {
			commits[c.IDs[len(c.IDs)-1]] = c
		}
		for _, w := range acknowledged {
			c := commits[w.id]
			if w.group != name || !c.Superseded || w.machine == frozen && c.WrittenAt.Before(thawedAt.Add(thawSlack)) {
				continue
			}
			late++
			if c.RolledBack {
				lost++
			}
			d.noteAtf(c.WrittenAt, "%s, sent to %s, was committed in term %d of %s after a later promote had taken effect, and acknowledged: BREAKS ONE; rolled back: %t",
				w.id, w.machine.name, c.Term, name, c.RolledBack)
		}
	}
	fmt.Printf("ONE: %d acknowledged writes were committed at an old primary, %d of them are lost\n", late, lost)
	return late
}
