//go:build review

package harness3

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

func init() {
	cases["12"] = func(r *run) error { return playUnseenPromotion(r, false) }
	cases["14"] = func(r *run) error { return playUnseenPromotion(r, true) }
}

const (
	promotionMachines = 4
	// crashTime is how long the first primary is down, and how long the third is dark.
	crashTime = 7 * time.Second
	// pathLoss is how long the second primary has no path to the holder's machine.
	pathLoss = 5 * time.Second
	// darkAfter is when the third primary goes dark, after its promotion was ordered.
	darkAfter = 900 * time.Millisecond
	// demotionDelay is how long the second primary goes on after the promotion of the third
	// has taken effect: until a second after it can reach it.
	demotionDelay = darkAfter - promotionDelay + crashTime + time.Second
	orderTimeout  = 15 * time.Second
)

// playUnseenPromotion crashes a primary. Its successor has no path to the machine of the
// lease's holder for a time, so that another endpoint is promoted, which goes dark. If
// killHolder is true, the holder is killed then, and another machine takes the lease.
func playUnseenPromotion(r *run, killHolder bool) error {
	p, err := startPlatform(r, line.WithPromotionDelay(promotionDelay, demotionDelay))
	if err != nil {
		return err
	}
	p.putConfig(7, 800*time.Millisecond)
	machines, err := p.startInstances(promotionMachines)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	holder, _ := p.holder()
	if holder != machines[0].name {
		return fmt.Errorf("%s holds the lease, not the first machine", holder)
	}
	r.notef("%s holds the lease", holder)
	writers := []*writer{startWriter(r, "b", machines[1]), startWriter(r, "c", machines[2])}
	time.Sleep(time.Second)
	if r.trouble {
		if err := p.loseTwoPrimaries(machines, killHolder); err != nil {
			return err
		}
	} else {
		time.Sleep(crashTime)
	}
	time.Sleep(3 * time.Second)
	var all []acknowledgment
	for _, w := range writers {
		all = append(all, w.end()...)
	}
	return p.judgeWrites(all, time.Time{})
}

// loseTwoPrimaries brings the disruptions about, and returns when they have ended.
func (p *platform) loseTwoPrimaries(machines []*instance, killHolder bool) error {
	first := p.servers[0]
	first.Stop()
	p.run.notef("%s, the primary, crashes", first.ID())
	crashedAt := time.Now()
	time.AfterFunc(crashTime, func() {
		_ = first.Restart()
		p.run.notef("%s is back", first.ID())
	})
	order, err := p.awaitOrder(1)
	if err != nil {
		return err
	}
	second := p.serverNumber(order.Endpoint)
	p.gates[second].partition(machines[0].name)
	p.run.notef("%s is ordered to lead and loses its path to %s", p.servers[second].ID(), machines[0].name)
	time.AfterFunc(pathLoss, func() {
		p.gates[second].partition()
		p.run.notef("%s has its path to %s again", p.servers[second].ID(), machines[0].name)
	})
	order, err = p.awaitOrder(2)
	if err != nil {
		return err
	}
	time.Sleep(darkAfter)
	third := p.serverNumber(order.Endpoint)
	p.setDark(third, true, machines)
	p.run.notef("%s, ordered to lead %d ms ago, goes dark", order.Endpoint, darkAfter.Milliseconds())
	if killHolder {
		machines[0].signal(syscall.SIGKILL)
		p.run.notef("SIGKILL to %s", machines[0].name)
	}
	time.Sleep(crashTime)
	p.setDark(third, false, machines)
	p.run.notef("%s is back", order.Endpoint)
	time.Sleep(time.Until(crashedAt.Add(crashTime)))
	return nil
}

// awaitOrder waits for the promotion request of the given number.
func (p *platform) awaitOrder(number int) (objects.PromotionRequest, error) {
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if all := p.store.PromotionRequests(); len(all) >= number {
			return all[number-1], nil
		}
	}
	return objects.PromotionRequest{}, errors.New("no promotion was ordered")
}

func (p *platform) serverNumber(id string) int {
	for i, s := range p.servers {
		if s.ID() == id {
			return i
		}
	}
	return 0
}

// setDark cuts a server off from all machines and from the other servers, or ends this.
func (p *platform) setDark(number int, dark bool, machines []*instance) {
	var names []string
	if dark {
		for _, i := range machines {
			names = append(names, i.name)
		}
	}
	p.gates[number].partition(names...)
	for _, s := range p.servers {
		s.SetReplicationCut(dark)
	}
}
