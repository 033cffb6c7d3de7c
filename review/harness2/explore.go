//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

type stmt struct {
	id, text string
	sentAt   time.Time
	reply    reply
	shape    string
	values   map[string]string
	answered time.Time
}

type xop struct {
	session  int
	route    string
	tx       bool
	readOnly bool
	begin    time.Time
	stmts    []*stmt
	promise  string
	commit   bool
	sess     *xsess
}

type xsess struct {
	acks []ack // own acknowledged commits
}
type ack struct {
	at  time.Time
	ids []string
}

var xmu sync.Mutex
var xops []*xop

func explore(c *caseRun) bool {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	c.rec.line("seed %d", seed)
	machines := 2 + r.IntN(4)
	d := newDeployment(c.rec, c.dir, c.root, machines)
	c.d = d
	d.twoRegions()
	d.group.promoteTime = time.Duration(100+r.IntN(600)) * time.Millisecond
	d.group.lag = time.Duration(r.IntN(80)) * time.Millisecond
	d.maxConns = 4 + r.IntN(13)
	d.group.maxConns = d.maxConns
	for i, rt := range []string{"primary", "bounded_staleness", "read_your_writes"} {
		d.routes = append(d.routes, map[string]any{"database": rt, "route_type": rt, "service": d.group.name, "timeout_ms": 1500, "priority": i, "max_staleness_ms": 300 + 400*i})
	}
	if seed%2 == 1 {
		d.tenants = []map[string]any{}
		for i := range 5 {
			d.tenants = append(d.tenants, map[string]any{"name": "t" + strconv.Itoa(i), "api_keys": []string{"key" + strconv.Itoa(i)}, "rate_per_s": 0, "burst": 0, "priority": i % 3})
		}
	}
	d.configure()
	d.startBackends()
	d.startMachines()
	time.Sleep(time.Second)
	end := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	for i := range 28 {
		wg.Add(1)
		cr := rand.New(rand.NewPCG(seed, uint64(100+i)))
		go func() { defer wg.Done(); xclient(c, d, cr, i, end) }()
	}
	if c.trouble {
		wg.Add(1)
		go func() { defer wg.Done(); xtrouble(c, d, r, end.Add(-6*time.Second)) }()
	}
	wg.Wait()
	time.Sleep(1500 * time.Millisecond)
	return xcheck(c, d)
}

func xtrouble(c *caseRun, d *deployment, r *rand.Rand, end time.Time) {
	next := 4
	var wg sync.WaitGroup
	mask := 0
	for range 5 {
		mask |= 1 << r.IntN(18)
	}
	if r.IntN(3) == 0 {
		mask = 0x3ffff
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+r.IntN(3500)) * time.Millisecond)
		kind := r.IntN(18)
		if mask>>kind&1 == 0 {
			continue
		}
		var bs []*backend
		d.group.mu.Lock()
		for _, b := range d.group.backends {
			if !b.left && !b.down && b.state == "ready" {
				bs = append(bs, b)
			}
		}
		leader := d.group.leader
		ldown := leader.down || leader.left || leader.state != "ready"
		d.group.mu.Unlock()
		if len(bs) < 3 {
			continue
		}
		var replica *backend
		for _, b := range bs {
			if b != leader {
				replica = b
			}
		}
		m := d.machines[r.IntN(len(d.machines))]
		if r.IntN(2) == 0 {
			if h := d.holder(); h != nil {
				m = h
			}
		}
		async := func(f func()) { wg.Add(1); go func() { defer wg.Done(); f() }() }
		t := time.Duration(1000+r.IntN(4000)) * time.Millisecond
		switch kind {
		case 0, 1: // release of the primary
			if ldown {
				continue
			}
			d.release(leader, fmt.Sprintf("i-%d", next))
			next++
			async(func() { time.Sleep(8 * time.Second); leader.leave(d.platform) })
		case 2:
			if ldown {
				continue
			}
			leader.crash()
			async(func() { time.Sleep(t); leader.restart() })
		case 3:
			replica.crash()
			async(func() { time.Sleep(t); replica.restart() })
		case 4:
			d.group.mu.Lock()
			replica.extraLag = time.Duration(r.IntN(3000)) * time.Millisecond
			c.rec.line("trouble: %s lags %v", replica.id, replica.extraLag)
			d.group.mu.Unlock()
			async(func() { time.Sleep(t); d.group.mu.Lock(); replica.extraLag = 0; d.group.mu.Unlock() })
		case 5:
			b := bs[r.IntN(len(bs))]
			d.group.mu.Lock()
			b.loseAnswers = 25
			c.rec.line("trouble: %s loses answers", b.id)
			d.group.mu.Unlock()
			async(func() { time.Sleep(t); d.group.mu.Lock(); b.loseAnswers = 0; d.group.mu.Unlock() })
		case 6:
			b := bs[r.IntN(len(bs))]
			d.group.mu.Lock()
			b.slow = 5
			c.rec.line("trouble: %s slow", b.id)
			d.group.mu.Unlock()
			async(func() { time.Sleep(t); d.group.mu.Lock(); b.slow = 0; d.group.mu.Unlock() })
		case 7:
			async(func() { m.signal(syscall.SIGSTOP); time.Sleep(t); m.signal(syscall.SIGCONT) })
		case 8:
			if m.restarting.CompareAndSwap(false, true) {
				async(func() {
					m.signal(syscall.SIGCONT)
					m.signal(syscall.SIGKILL)
					<-m.done
					time.Sleep(300 * time.Millisecond)
					m.start()
					m.restarting.Store(false)
				})
			}
		case 9:
			if m.restarting.CompareAndSwap(false, true) {
				async(func() {
					m.signal(syscall.SIGCONT)
					m.signal(syscall.SIGTERM)
					select {
					case <-m.done:
					case <-time.After(6 * time.Second):
						c.rec.line("HANG: %s did not end within the grace period", m.name)
						m.signal(syscall.SIGKILL)
						<-m.done
					}
					m.start()
					m.restarting.Store(false)
				})
			}
		case 10:
			c.rec.line("trouble: store turns %s away", m.name)
			which := r.IntN(3)
			m.access.set(func(a *access) {
				switch which {
				case 0:
					a.silent = true
				case 1:
					a.status = 503
				case 2:
					a.loseWrites = true
				}
			})
			async(func() {
				time.Sleep(t)
				m.access.set(func(a *access) { a.silent, a.status, a.loseWrites = false, 0, false })
			})
		case 12:
			b := bs[r.IntN(len(bs))]
			d.group.mu.Lock()
			b.cutAnswers = 25
			c.rec.line("trouble: %s cuts answers", b.id)
			d.group.mu.Unlock()
			async(func() { time.Sleep(t); d.group.mu.Lock(); b.cutAnswers = 0; d.group.mu.Unlock() })
		case 13:
			b := bs[r.IntN(len(bs))]
			d.group.mu.Lock()
			d.group.silentBefore = d.group.nextConn
			c.rec.line("trouble: open connections to backends go silent")
			d.group.mu.Unlock()
			_ = b
		case 14:
			c.rec.line("trouble: all machines are killed")
			var down []*machine
			for _, x := range d.machines {
				if x.restarting.CompareAndSwap(false, true) {
					down = append(down, x)
					x.signal(syscall.SIGCONT)
					x.signal(syscall.SIGKILL)
				}
			}
			async(func() {
				time.Sleep(500 * time.Millisecond)
				for _, x := range down {
					<-x.done
					x.start()
					x.restarting.Store(false)
				}
			})
		case 15:
			how := r.IntN(2)
			c.rec.line("trouble: promotions are slow or lose their answers: %d", how)
			for _, x := range d.machines {
				x.access.set(func(a *access) {
					if how == 0 {
						a.promoteDelay = time.Duration(200+r.IntN(700)) * time.Millisecond
					} else {
						a.losePromote = true
					}
				})
			}
			async(func() {
				time.Sleep(3 * t)
				for _, x := range d.machines {
					x.access.set(func(a *access) { a.promoteDelay, a.losePromote = 0, false })
				}
			})
		case 16, 17:
			d.routes = append(d.routes[:3:3], map[string]any{"database": "extra" + strconv.Itoa(r.IntN(9)), "route_type": "primary", "service": d.group.name, "timeout_ms": 900, "priority": 2, "max_staleness_ms": 0})
			d.configure()
			c.rec.line("trouble: configuration changes")
		case 11:
			c.rec.line("trouble: store away for all")
			for _, x := range d.machines {
				x.access.set(func(a *access) { a.silent = true })
			}
			async(func() {
				time.Sleep(t)
				for _, x := range d.machines {
					x.access.set(func(a *access) { a.silent = false })
				}
			})
		}
	}
	wg.Wait()
}

func xclient(c *caseRun, d *deployment, r *rand.Rand, n int, end time.Time) {
	route := []string{"primary", "bounded_staleness", "read_your_writes"}[n%3]
	sess := 0
	for time.Now().Before(end) {
		sess++
		name := fmt.Sprintf("c%d.%d", n, sess)
		s, err := connectAs(c.rec, name, d.machines[r.IntN(len(d.machines))].front(), route, "key"+strconv.Itoa(n%5))
		if err != nil {
			time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
			continue
		}
		xs := &xsess{}
		values, prepared := map[string]string{}, map[string]string{}
		ops := 1 + r.IntN(30)
		alive := true
		for o := 0; o < ops && alive && time.Now().Before(end); o++ {
			alive = xrun(s, r, n, route, xs, values, prepared)
			time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		}
		s.close()
	}
}

func xrun(s *client, r *rand.Rand, n int, route string, xs *xsess, values, prepared map[string]string) bool {
	op := &xop{session: n, route: route, sess: xs}
	xmu.Lock()
	xops = append(xops, op)
	xmu.Unlock()
	do := func(text string) (reply, bool) {
		st := &stmt{text: text, id: newID(), sentAt: time.Now(), values: map[string]string{}}
		for k, v := range values {
			st.values[k] = v
		}
		f := strings.Fields(text)
		if f[0] == "EXECUTE" {
			st.shape = prepared[f[1]]
		}
		xmu.Lock()
		op.stmts = append(op.stmts, st)
		xmu.Unlock()
		s.send(st.id, text)
		_ = s.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		rep := s.receive()
		at := time.Now()
		s.rec.line("answered: %s %s %v", s.name, st.id, rep)
		if rep.lost && at.Sub(st.sentAt) > 7900*time.Millisecond {
			s.rec.line("NOANSWER: %s %s %q", s.name, st.id, text)
		}
		xmu.Lock()
		st.reply, st.answered = rep, at
		if rep.isPromise() {
			op.promise = st.id + ":" + rep.code
		}
		xmu.Unlock()
		return rep, rep.done()
	}
	item := func() string { return "k" + strconv.Itoa(r.IntN(12)) }
	setup := func() bool {
		switch r.IntN(6) {
		case 0:
			k, v := "v"+strconv.Itoa(r.IntN(3)), strconv.Itoa(r.IntN(5))
			if _, ok := do("SET " + k + " " + v); !ok {
				return false
			}
			values[k] = v
		case 1:
			nm, sh := "s"+strconv.Itoa(r.IntN(3)), []string{"READ", "WRITE"}[r.IntN(2)]+" q"+strconv.Itoa(r.IntN(40))
			if _, ok := do("PREPARE " + nm + " " + sh); !ok {
				return false
			}
			prepared[nm] = sh
		case 2:
			for nm := range prepared {
				if _, ok := do("DEALLOC " + nm); !ok {
					return false
				}
				delete(prepared, nm)
				break
			}
		}
		return true
	}
	one := func(canWrite bool) string {
		for nm, sh := range prepared {
			if r.IntN(2) == 0 && (canWrite || strings.HasPrefix(sh, "READ")) {
				if strings.HasPrefix(sh, "READ") {
					return "EXECUTE " + nm + " " + item()
				}
				return "EXECUTE " + nm + " " + item() + " d" + newID()
			}
		}
		if canWrite && r.IntN(3) == 0 {
			return "WRITE " + item() + " d" + newID()
		}
		return "READ " + item()
	}
	if !setup() {
		return false
	}
	if r.IntN(10) < 5 {
		text := one(true)
		rep, ok := do(text)
		if !ok {
			return !rep.lost && rep.state == "I"
		}
		if isWrite(text, prepared) {
			xmu.Lock()
			xs.acks = append(xs.acks, ack{op.stmts[len(op.stmts)-1].answered, []string{op.stmts[len(op.stmts)-1].id}})
			xmu.Unlock()
		}
		return rep.state == "I"
	}
	op.tx = true
	op.readOnly = r.IntN(3) == 0
	text := "BEGIN"
	if op.readOnly {
		text = "BEGIN READ"
	}
	if _, ok := do(text); !ok {
		return false
	}
	var ids []string
	for range 1 + r.IntN(5) {
		if r.IntN(3) == 0 {
			time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		}
		if r.IntN(5) == 0 && !setup() {
			return false
		}
		if r.IntN(60) == 0 {
			return false // leaves in the middle
		}
		text := one(!op.readOnly)
		rep, ok := do(text)
		if !ok {
			if !rep.lost && rep.state == "E" && r.IntN(2) == 0 {
				rep2, _ := do("ROLLBACK")
				return !rep2.lost && rep2.state == "I"
			}
			return false
		}
		if isWrite(text, prepared) {
			ids = append(ids, op.stmts[len(op.stmts)-1].id)
		}
	}
	if r.IntN(8) == 0 {
		rep, _ := do("ROLLBACK")
		return !rep.lost && rep.state == "I"
	}
	op.commit = true
	rep, ok := do("COMMIT")
	if ok && len(ids) > 0 {
		xmu.Lock()
		xs.acks = append(xs.acks, ack{op.stmts[len(op.stmts)-1].answered, append(ids, op.stmts[len(op.stmts)-1].id)})
		xmu.Unlock()
	}
	return !rep.lost && rep.state == "I"
}

func isWrite(text string, prepared map[string]string) bool {
	f := strings.Fields(text)
	return f[0] == "WRITE" || f[0] == "EXECUTE" && strings.HasPrefix(prepared[f[1]], "WRITE")
}

func xcheck(c *caseRun, d *deployment) (broken bool) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	xmu.Lock()
	defer xmu.Unlock()
	bad := func(format string, args ...any) { c.rec.line("BROKEN "+format, args...); broken = true }
	final := map[*commit]bool{}
	inFinal := map[string][]*commit{}
	for _, cm := range g.leader.log {
		final[cm] = true
		for _, id := range cm.ids {
			inFinal[id] = append(inFinal[id], cm)
		}
	}
	runs := map[string][]execution{}
	for _, e := range g.executions {
		runs[e.id] = append(runs[e.id], e)
	}
	type acked struct {
		at time.Time
		cm *commit
	}
	var acks []acked
	stats := map[string]int{}
	ackedIn := map[string]time.Time{}
	for _, op := range xops {
		for _, st := range op.stmts {
			if st.reply.done() {
				ackedIn[st.id] = st.answered
			}
		}
	}
	for id, cms := range inFinal {
		if len(cms) > 1 {
			bad("TWICE %s in %d commits", id, len(cms))
		}
	}
	for _, cm := range g.leader.log {
		// acknowledged when the last statement of the commit was answered with success
		if at, found := ackedIn[cm.ids[len(cm.ids)-1]]; found {
			acks = append(acks, acked{at, cm})
		}
	}
	for _, cm := range g.allCommits {
		if at, found := ackedIn[cm.ids[len(cm.ids)-1]]; found && cm.staleTerm {
			bad("ONE %v committed at %s term %d after a promote took effect, acknowledged at %v", cm.ids, cm.backend, cm.term, at.Sub(c.rec.start))
		}
	}
	allStamp := map[string]bool{}
	for _, op := range xops {
		var first *execution
		for i, st := range op.stmts {
			f := strings.Fields(st.text)
			verb := f[0]
			if st.reply.done() {
				stats["ok "+verb]++
			} else if st.reply.lost {
				stats["lost"]++
			} else {
				stats["err "+st.reply.code]++
			}
			es := runs[st.id]
			for _, e := range es {
				if d.tenants != nil && e.who != "t"+strconv.Itoa(op.session%5) {
					bad("UNASKED team %s ran as %s", e.id, e.who)
				}
				allStamp[e.id] = true
				// text
				ef := strings.Fields(e.text)
				same := e.text == st.text
				if verb == "EXECUTE" && ef[0] == "EXECUTE" && strings.Join(ef[2:], " ") == strings.Join(f[2:], " ") {
					same = true
					if e.shape != st.shape {
						bad("PINNED %s ran shape %q, wanted %q", e.id, e.shape, st.shape)
					}
				}
				if !same {
					bad("UNASKED %s ran %q, sent %q", e.id, e.text, st.text)
				}
				for k, v := range st.values {
					if e.values[k] != v {
						bad("PINNED %s %s=%q, wanted %q", e.id, k, e.values[k], v)
					}
				}
				for k := range e.values {
					if _, want := st.values[k]; !want {
						bad("PINNED %s has foreign value %s", e.id, k)
					}
				}
				if op.tx && e.transaction == 0 {
					bad("PINNED %s %q of a transaction ran outside on %s", e.id, e.text, e.backend)
				}
				if !op.tx && e.transaction != 0 {
					bad("PINNED %s ran inside transaction %d", e.id, e.transaction)
				}
			}
			if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT") && st.reply.done() {
				var match *execution
				for k := range es {
					if es[k].signature == "" || es[k].signature == st.reply.signature {
						match = &es[k]
					}
				}
				if match == nil {
					bad("MIXED %s success without a run", st.id)
					continue
				}
				if match.signature != "" && strings.Join(match.rows, "|") != strings.Join(st.reply.rows, "|") {
					bad("MIXED %s other rows", st.id)
				}
				if op.tx {
					if first != nil && first.connection != match.connection {
						bad("PINNED %s on another connection than the first statement", st.id)
					}
					if first == nil {
						first = match
					}
				}
				if match.signature != "" { // a read
					since := st.sentAt
					if op.tx {
						since = op.stmts[0].sentAt
						for k := 0; k <= i; k++ {
							if strings.HasPrefix(op.stmts[k].text, "BEGIN") {
								since = op.stmts[k].sentAt
							}
						}
					}
					stale := map[string]time.Duration{"primary": 0, "bounded_staleness": 700 * time.Millisecond, "read_your_writes": 1100 * time.Millisecond}[op.route]
					has := map[*commit]bool{}
					for _, cm := range match.log {
						has[cm] = true
					}
					for _, a := range acks {
						if a.at.Before(since.Add(-stale)) && !has[a.cm] {
							bad("STALE %s on %s (%s) lacks %v acked %v before", st.id, match.backend, op.route, a.cm.ids, since.Sub(a.at))
							break
						}
					}
					if op.route == "read_your_writes" {
						for _, a := range op.sess.acks {
							if !a.at.Before(since) {
								continue
							}
							cms := inFinal[a.ids[len(a.ids)-1]]
							if len(cms) == 1 && !has[cms[0]] {
								bad("STALE own %s lacks %v", st.id, a.ids)
							}
						}
					}
				}
			}
		}
		if op.promise != "" {
			for _, st := range op.stmts {
				if cms := inFinal[st.id]; len(cms) > 0 {
					bad("REFUSED promise %s but %s committed", op.promise, st.id)
				}
			}
		}
		if op.tx && !op.commit {
			for _, st := range op.stmts {
				if len(inFinal[st.id]) > 0 {
					bad("UNASKED %s committed without COMMIT", st.id)
				}
			}
		}
	}
	for _, e := range g.executions {
		if !allStamp[e.id] {
			bad("UNASKED %s ran, never sent", e.id)
		}
	}
	c.rec.line("stats %v promotions %v commits %d", stats, len(d.platform.promotions), len(g.leader.log))
	fmt.Println("stats", stats, "promotions", d.platform.promotions, "commits", len(g.leader.log))
	var last uint64
	for _, t := range d.platform.promotions {
		n, _ := strconv.ParseUint(t, 10, 64)
		if n < last {
			bad("ONE token %d after %d", n, last)
		}
		last = max(last, n)
	}
	return broken
}
