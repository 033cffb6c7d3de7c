//go:build review

package harness3

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["13"] = playRestartedHolder
}

const (
	// killAfter is when the holder is killed, after it has ordered a promotion, and
	// restartAfter when its process is started again.
	killAfter    = 30 * time.Millisecond
	restartAfter = 400 * time.Millisecond
)

// playRestartedHolder crashes a primary. Its successor has no path to the machine of the
// lease's holder until another endpoint is ordered to lead. The holder is killed then, and
// started again.
func playRestartedHolder(r *run) error {
	p, err := startPlatform(r)
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
		if err := p.restartHolder(machines); err != nil {
			return err
		}
	}
	time.Sleep(crashTime)
	var all []acknowledgment
	for _, w := range writers {
		all = append(all, w.end()...)
	}
	return p.judgeWrites(all, time.Time{})
}

// restartHolder brings the disruptions about.
func (p *platform) restartHolder(machines []*instance) error {
	first := p.servers[0]
	first.Stop()
	p.run.notef("%s, the primary, crashes", first.ID())
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
	order, err = p.awaitOrder(2)
	if err != nil {
		return err
	}
	time.Sleep(killAfter)
	machines[0].signal(syscall.SIGKILL)
	p.gates[second].partition()
	p.run.notef("%s is ordered to lead; SIGKILL to %s; %s has its path to it again", order.Endpoint, machines[0].name,
		p.servers[second].ID())
	<-machines[0].ended
	time.Sleep(restartAfter)
	p.run.notef("%s is started again", machines[0].name)
	return machines[0].start()
}
