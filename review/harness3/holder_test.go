//go:build review

package harness3

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
)

func init() {
	cases["11"] = playHolderAfterFreeze
}

const (
	holderMachines = 9
	// settleTime is how long the machines run before the disruptions.
	settleTime = 8 * time.Second
	// holderFreeze is how long the holder stands still.
	holderFreeze = 2 * time.Second
	// turnedAway is how many machines the store turns away, the holder among them.
	turnedAway = 5
	// primaryCut is for how long the primary is partitioned from its replicas and from
	// the machines that the store serves. It begins when the holder wakes.
	primaryCut = 5 * time.Second
	// demotionAfter is when the old primary stops leading after a promotion has taken
	// effect. That is half a second after the cut has ended; the pages allow a second.
	demotionAfter = 3 * time.Second
	// thawSlack is the time after a freeze in which a machine's requests are not judged.
	thawSlack      = 300 * time.Millisecond
	writeInterval  = 25 * time.Millisecond
	statementLimit = 2 * time.Second
)

// acknowledgment is a write that a client was told of as committed.
type acknowledgment struct {
	id                 string
	sentAt, answeredAt time.Time
}

// writer is a client that writes without pause, one statement at a time.
type writer struct {
	run    *run
	name   string
	target *instance
	stop   chan struct{}
	done   chan struct{}

	mu           sync.Mutex // guards the fields below
	acknowledged []acknowledgment
	codes        map[string]int
}

func startWriter(r *run, name string, target *instance) *writer {
	w := &writer{
		run:    r,
		name:   name,
		target: target,
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		codes:  map[string]int{},
	}
	go w.write()
	return w
}

func (w *writer) write() {
	defer close(w.done)
	var c *client
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(writeInterval):
		}
		if c == nil {
			opened, err := connect(w.target.front, "primary")
			if err != nil {
				continue
			}
			c = opened
		}
		id := w.name + strconv.Itoa(n)
		sentAt := time.Now()
		a, err := c.query(id, "WRITE item-"+w.name+" "+id, statementLimit)
		if err != nil {
			c.close()
			c = nil
		}
		w.record(id, sentAt, a, err)
	}
}

func (w *writer) record(id string, sentAt time.Time, a answer, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.codes["no answer"]++
	case a.code != "":
		w.codes[a.code]++
	default:
		w.codes["COMPLETE"]++
		w.acknowledged = append(w.acknowledged, acknowledgment{
			id:         id,
			sentAt:     sentAt,
			answeredAt: time.Now(),
		})
	}
}

// end stops the writer and returns what it was told of as committed.
func (w *writer) end() []acknowledgment {
	close(w.stop)
	<-w.done
	w.run.notef("client %s at %s: %v", w.name, w.target.name, w.codes)
	return w.acknowledged
}

// playHolderAfterFreeze freezes the holder of the lease while the store turns it and
// four others away. The others depose it. The primary of a quiet database is partitioned
// from its replicas and from the machines that the store serves.
func playHolderAfterFreeze(r *run) error {
	p, err := startPlatform(r, line.WithPromotionDelay(promotionDelay, demotionAfter))
	if err != nil {
		return err
	}
	p.putConfig(7, 800*time.Millisecond)
	machines, err := p.startInstances(holderMachines)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	holder, token := p.holder()
	if holder != machines[0].name {
		return fmt.Errorf("%s holds the lease, not the first machine", holder)
	}
	r.notef("%s holds the lease with token %d", holder, token)
	first := startWriter(r, "old", machines[0])
	time.Sleep(time.Second)
	thawedAt := time.Now()
	if r.trouble {
		thawedAt = p.disturb(machines)
	} else {
		time.Sleep(holderFreeze)
	}
	second := startWriter(r, "new", machines[turnedAway])
	time.Sleep(primaryCut)
	p.endDisturbance(holderMachines)
	time.Sleep(2 * time.Second)
	second.end()
	return p.judgeWrites(first.end(), thawedAt)
}

// disturb begins the disruptions and returns when the holder has run again.
func (p *platform) disturb(machines []*instance) time.Time {
	for m := range turnedAway {
		p.rejectMachines(true, m)
	}
	p.run.notef("the store answers 503 to %s to %s", machines[0].name, machines[turnedAway-1].name)
	machines[0].signal(syscall.SIGSTOP)
	p.run.notef("SIGSTOP to %s", machines[0].name)
	time.Sleep(holderFreeze)
	var others []string
	for _, i := range machines[turnedAway:] {
		others = append(others, i.name)
	}
	p.gates[0].partition(others...)
	p.servers[1].SetReplicationCut(true)
	p.servers[2].SetReplicationCut(true)
	p.run.notef("%s, the primary, is partitioned from its replicas and from %v", p.servers[0].ID(), others)
	machines[0].signal(syscall.SIGCONT)
	holder, token := p.holder()
	p.run.notef("SIGCONT to %s; %s holds the lease with token %d", machines[0].name, holder, token)
	return time.Now()
}

func (p *platform) endDisturbance(count int) {
	p.gates[0].partition()
	p.servers[1].SetReplicationCut(false)
	p.servers[2].SetReplicationCut(false)
	for m := range count {
		p.rejectMachines(false, m)
	}
	p.run.notef("all disruptions have ended")
}

// judgeWrites records the acknowledged writes and looks for acknowledged writes that were committed at a primary that had
// been replaced. It passes over those that were sent before thawSlack after a freeze.
func (p *platform) judgeWrites(acknowledged []acknowledgment, thawedAt time.Time) error {
	for _, o := range p.store.PromotionRequests() {
		p.run.notef("promotion of %s by %s with token %d at %.3f s", o.Endpoint, o.Holder, o.Token,
			o.ReceivedAt.Sub(p.run.startedAt).Seconds())
	}
	commits := map[string]line.Commit{}
	for _, c := range p.group.History() {
		commits[c.IDs[0]] = c
	}
	broken := 0
	for _, a := range acknowledged {
		c, found := commits[a.id]
		if !found {
			p.run.violationf("MIXED: %s was acknowledged and has not run", a.id)
			continue
		}
		p.run.detailf(a.sentAt, "%s sent, committed in term %d after %d ms, acknowledged after %d ms, superseded: %v", a.id,
			c.Term, c.WrittenAt.Sub(a.sentAt).Milliseconds(), a.answeredAt.Sub(a.sentAt).Milliseconds(), c.Superseded)
		if c.Superseded && a.sentAt.After(thawedAt.Add(thawSlack)) {
			broken++
		}
	}
	if broken > 0 {
		p.run.violationf("ONE: %d writes were committed at a replaced primary and acknowledged", broken)
	}
	if len(acknowledged) == 0 {
		return errors.New("no write was acknowledged")
	}
	return nil
}
