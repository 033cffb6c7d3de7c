//go:build review2

package harness2

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is an entry of a log.
type commit struct {
	term      int
	ids       []string
	writes    map[string]string
	at        time.Time
	backend   string
	staleTerm bool
}

// execution is a statement of a client that a backend ran.
type execution struct {
	id, text, backend string
	connection        int
	transaction       int
	at                time.Time
}

// group is a service: a primary and its replicas.
type group struct {
	mu           sync.Mutex
	name         string
	term         int
	leader       *backend
	backends     map[string]*backend
	lag          time.Duration
	promoteTime  time.Duration
	work         time.Duration
	rows         func(item, value string) []string
	executions   []execution
	nextConn     int
	nextTx       int
	pending      *backend
	pendingUntil time.Time
	rec          *record
	// maxConns is the limit of connections to each backend.
	maxConns int
	// sync is true if a commit is acknowledged once one replica has received it.
	sync bool
}

// backend is one database server of a group.
type backend struct {
	group   *group
	id      string
	address string
	born    int64
	state   string
	primary bool
	// primaryUntil ends the lead of a former primary.
	primaryUntil time.Time
	term         int
	log          []*commit
	listener     net.Listener
	conns        map[net.Conn]struct{}
	slots        chan struct{}
	seq          int
	left         bool
	// down is true once the backend has crashed.
	down bool
	// extraLag delays what a replica receives.
	extraLag time.Duration
	// waiting is the number of statements that run or wait.
	waiting int
}

func newGroup(rec *record, name string) *group {
	return &group{
		name:        name,
		term:        1,
		backends:    map[string]*backend{},
		lag:         20 * time.Millisecond,
		promoteTime: 600 * time.Millisecond,
		work:        3 * time.Millisecond,
		maxConns:    16,
		rec:         rec,
	}
}

// start starts a backend at a free address. The first one leads.
func (g *group) start(id, address string) *backend {
	l, err := net.Listen("tcp", address)
	fatal(err)
	b := &backend{
		group:    g,
		id:       id,
		address:  address,
		born:     time.Now().UnixMilli(),
		state:    "ready",
		term:     1,
		listener: l,
		conns:    map[net.Conn]struct{}{},
		slots:    make(chan struct{}, 2),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == nil {
		g.leader = b
		b.primary = true
	}
	b.term = g.term
	g.backends[id] = b
	go b.accept(l)
	return b
}

// register writes the entry of the backend in the store.
func (b *backend) register(p *platform) {
	b.group.mu.Lock()
	b.group.advance()
	role := "replica"
	if b.primary {
		role = "primary"
	}
	b.seq++
	entry := map[string]any{
		"service": b.group.name, "address": b.address, "zone": "z1", "version": "v1", "slots": 2, "state": b.state,
		"cold_left_ms": 0, "db_role": role, "seq_no": b.seq, "born": b.born,
	}
	left := b.left
	b.group.mu.Unlock()
	if !left {
		p.put("servers", b.id, entry)
	}
}

// heartbeat registers the backend every 1.2 s.
func (b *backend) heartbeat(p *platform) {
	silent := 0
	for {
		b.group.mu.Lock()
		left, down := b.left, b.down
		b.group.mu.Unlock()
		switch {
		case left:
			return
		case down:
			silent++
			if silent == 3 {
				p.remove("servers", b.id)
			}
		default:
			silent = 0
			b.register(p)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// promote designates the backend that leads next. It returns false if it does not run.
func (g *group) promote(_, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	b, found := g.backends[id]
	if !found || b.left || b.down {
		return false
	}
	if b == g.leader && b.primary {
		return true
	}
	g.pending = b
	g.pendingUntil = time.Now().Add(g.promoteTime)
	return true
}

// advance applies what is due. The caller holds the lock.
func (g *group) advance() {
	now := time.Now()
	for _, b := range g.backends {
		b.receive(now)
	}
	if g.pending != nil && !now.Before(g.pendingUntil) {
		b := g.pending
		g.pending = nil
		if !b.left && !b.down && b != g.leader {
			former := g.leader
			g.term++
			g.leader = b
			b.primary = true
			b.term = g.term
			if former != nil && former.primary {
				former.primaryUntil = now.Add(time.Second)
			}
			g.rec.line("backend: %s leads term %d with %d commits", b.id, g.term, len(b.log))
		}
	}
	for _, b := range g.backends {
		if b != g.leader && b.primary && !b.primaryUntil.IsZero() && now.After(b.primaryUntil) {
			b.primary = false
			g.rec.line("backend: %s has seen the later primary", b.id)
		}
	}
}

// receive copies what a replica has received of the primary's log. The caller holds the
// lock.
func (b *backend) receive(now time.Time) {
	l := b.group.leader
	if b == l || b.primary || l == nil || b.left || b.down || l.left || l.down {
		return
	}
	common := 0
	for common < len(b.log) && common < len(l.log) && b.log[common] == l.log[common] {
		common++
	}
	b.log = b.log[:common:common]
	b.term = l.term
	for common < len(l.log) && now.Sub(l.log[common].at) >= b.group.lag+b.extraLag {
		b.log = append(b.log, l.log[common])
		common++
	}
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		b.conns[c] = struct{}{}
		b.group.nextConn++
		n := b.group.nextConn
		b.group.mu.Unlock()
		go b.serve(c, n)
	}
}

// dbSession is a connection to a backend.
type dbSession struct {
	b          *backend
	number     int
	state      string
	tx         int
	readOnly   bool
	wrote      map[string]string
	ids        []string
	prepared   map[string][2]string
	values     map[string]string
	signatures int
	// unconfirmed is a commit that no replica may have received yet.
	unconfirmed *commit
	// broken is true once the session has lost an answer.
	broken bool
}

func (b *backend) serve(c net.Conn, number int) {
	defer func() {
		_ = c.Close()
		b.group.mu.Lock()
		delete(b.conns, c)
		b.group.mu.Unlock()
	}()
	s := &dbSession{b: b, number: number, state: "I", prepared: map[string][2]string{}, values: map[string]string{}}
	r := bufio.NewReaderSize(c, 1<<16)
	first := true
	for {
		text, err := readLine(r)
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(text, " ")
		out := ""
		switch {
		case first && verb == "CONNECT":
			f := strings.Fields(rest)
			if len(f) == 0 || f[0] != b.group.name || len(f) > 2 && f[2] != b.id {
				_, _ = c.Write([]byte("ERROR WRONGNODE " + b.id + "\r\n"))
				return
			}
			b.group.mu.Lock()
			full := len(b.conns) > b.group.maxConns
			b.group.mu.Unlock()
			if full {
				_, _ = c.Write([]byte("ERROR CONNLIMIT " + b.id + "\r\n"))
				return
			}
			time.Sleep(12 * time.Millisecond)
			first = false
		case !first && verb == "QUERY":
			id, statement, _ := strings.Cut(rest, " ")
			out = s.run(id, statement)
			s.awaitReplica()
		default:
			return
		}
		b.group.mu.Lock()
		left := b.left || b.down
		position := fmt.Sprintf("%d.%d", b.term, len(b.log))
		b.group.mu.Unlock()
		if left || s.broken {
			return
		}
		if _, err := c.Write([]byte(out + "READY " + s.state + " " + position + "\r\n")); err != nil {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	text, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(text, "\r\n"), nil
}

func (s *dbSession) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.b.id + "\r\n"
}

func (s *dbSession) signature() string {
	s.signatures++
	return fmt.Sprintf("sig.%s.%d.%d", s.b.id, s.number, s.signatures)
}

// run runs a statement and returns the answer up to READY.
func (s *dbSession) run(id, text string) string {
	g := s.b.group
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return s.fail("MALFORMED")
	}
	sent := text
	var wait []string
	if fields[0] == "WAITPOS" && len(fields) > 2 {
		wait = strings.SplitN(fields[1], ".", 2)
		sent = strings.Join(strings.SplitN(text, " ", 3)[2:], " ")
		fields = strings.Fields(sent)
	}
	switch fields[0] {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		g.mu.Lock()
		full := s.b.waiting >= 18
		if !full {
			s.b.waiting++
		}
		g.mu.Unlock()
		if full {
			return s.fail("BUSY")
		}
		s.b.slots <- struct{}{}
		time.Sleep(g.work)
		<-s.b.slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch fields[0] {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		s.b.waiting--
	}
	g.advance()
	if s.b.down {
		s.broken = true
		return ""
	}
	if len(wait) == 2 {
		term, _ := strconv.Atoi(wait[0])
		number, _ := strconv.Atoi(wait[1])
		if term > s.b.term || term == s.b.term && number > len(s.b.log) {
			return s.fail("LAGGING")
		}
	}
	if s.state == "E" && fields[0] != "COMMIT" && fields[0] != "ROLLBACK" {
		return s.fail("MALFORMED")
	}
	lost := s.state == "T" && !s.readOnly && !s.b.primary
	if lost && fields[0] != "ROLLBACK" && !(fields[0] == "COMMIT" && len(s.wrote) == 0) {
		// The answer to any statement of a plain transaction whose backend has lost the
		// lead.
		if fields[0] == "COMMIT" {
			s.end()
			return "ERROR READONLY " + s.b.id + "\r\n"
		}
		return s.fail("READONLY")
	}
	return s.dispatch(id, sent, fields)
}

func (s *dbSession) end() {
	s.state = "I"
	s.wrote = nil
	s.ids = nil
	s.readOnly = false
}

func (s *dbSession) ran(id, text string) {
	g := s.b.group
	tx := s.tx
	if s.state == "I" {
		tx = 0
	}
	if id != "-" {
		g.executions = append(g.executions, execution{
			id: id, text: text, backend: s.b.id, connection: s.number, transaction: tx, at: time.Now(),
		})
		g.rec.line("ran: %s %q on %s connection %d transaction %d", id, shorten(text), s.b.id, s.number, tx)
	}
}

func shorten(text string) string {
	if len(text) > 80 {
		return text[:80] + fmt.Sprintf("... (%d bytes)", len(text))
	}
	return text
}

// argumentWords is the least number of words of a statement.
var argumentWords = map[string]int{"READ": 2, "WRITE": 2, "EXECUTE": 3, "PREPARE": 4, "DEALLOC": 2, "SET": 2}

func (s *dbSession) dispatch(id, text string, fields []string) string {
	g := s.b.group
	if len(fields) < argumentWords[fields[0]] {
		return s.fail("MALFORMED")
	}
	switch fields[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		if fields[0] == "STEPDOWN" && len(fields) > 1 {
			term, _ := strconv.Atoi(fields[1])
			if s.b.primary && s.b.term < term {
				s.b.primary = false
				g.rec.line("backend: %s has stepped down from term %d", s.b.id, s.b.term)
			}
		}
		role := "replica"
		if s.b.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d 0 %d %d %d\r\nCOMPLETE -\r\n", role, s.b.term, s.b.term, len(s.b.log),
			g.lag.Milliseconds(), len(s.b.slots), len(s.b.conns))
	case "BEGIN":
		if s.state != "I" {
			return s.fail("MALFORMED")
		}
		if len(fields) == 1 && !s.b.primary {
			return s.fail("READONLY")
		}
		g.nextTx++
		s.tx = g.nextTx
		s.state = "T"
		s.readOnly = len(fields) > 1
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		if s.state == "I" {
			return s.fail("MALFORMED")
		}
		s.end()
		return "COMPLETE -\r\n"
	case "COMMIT":
		switch s.state {
		case "I":
			return s.fail("MALFORMED")
		case "E":
			s.end()
			return "ERROR ABORTED " + s.b.id + "\r\n"
		}
		s.ran(id, text)
		if len(s.wrote) > 0 {
			s.commit(s.wrote, append(s.ids, id))
		}
		s.end()
		return "COMPLETE " + s.signature() + "\r\n"
	case "SET":
		s.values[fields[1]] = strings.Join(fields[2:], " ")
		return "COMPLETE -\r\n"
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string][2]string{}
		return "COMPLETE -\r\n"
	case "PREPARE":
		s.prepared[fields[1]] = [2]string{fields[2], fields[3]}
		return "COMPLETE -\r\n"
	case "DEALLOC":
		delete(s.prepared, fields[1])
		return "COMPLETE -\r\n"
	case "EXECUTE":
		p, found := s.prepared[fields[1]]
		if !found {
			return s.fail("NOSTMT")
		}
		if p[0] == "READ" {
			return s.read(id, text, fields[2])
		}
		return s.writeItem(id, text, fields[2], strings.Join(fields[3:], " "))
	case "READ":
		return s.read(id, text, fields[1])
	case "WRITE":
		return s.writeItem(id, text, fields[1], strings.Join(fields[2:], " "))
	}
	return s.fail("MALFORMED")
}

func (s *dbSession) read(id, text, item string) string {
	s.ran(id, text)
	value := ""
	for _, c := range s.b.log {
		if v, found := c.writes[item]; found {
			value = v
		}
	}
	rows := []string{value}
	if s.b.group.rows != nil {
		rows = s.b.group.rows(item, value)
	}
	var out strings.Builder
	for _, r := range rows {
		out.WriteString("ROW " + r + "\r\n")
	}
	return out.String() + "COMPLETE " + s.signature() + "\r\n"
}

func (s *dbSession) writeItem(id, text, item, data string) string {
	if !s.b.primary {
		return s.fail("READONLY")
	}
	s.ran(id, text)
	if s.state == "T" {
		if s.wrote == nil {
			s.wrote = map[string]string{}
		}
		s.wrote[item] = data
		s.ids = append(s.ids, id)
		return "COMPLETE " + s.signature() + "\r\n"
	}
	s.commit(map[string]string{item: data}, []string{id})
	return "COMPLETE " + s.signature() + "\r\n"
}

func (s *dbSession) commit(writes map[string]string, ids []string) {
	g := s.b.group
	c := &commit{term: s.b.term, ids: ids, writes: writes, at: time.Now(), backend: s.b.id, staleTerm: s.b != g.leader}
	s.b.log = append(s.b.log[:len(s.b.log):len(s.b.log)], c)
	if g.sync {
		s.unconfirmed = c
	}
	g.rec.line("commit: %s %d.%d of %s", s.b.id, s.b.term, len(s.b.log), strings.Join(ids, ","))
}

// leave ends the backend for good.
func (b *backend) leave(p *platform) {
	b.group.mu.Lock()
	b.left = true
	conns := b.conns
	b.conns = map[net.Conn]struct{}{}
	b.group.mu.Unlock()
	_ = b.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
	p.remove("servers", b.id)
}

// crash stops the backend. Its log is kept.
func (b *backend) crash() {
	b.group.mu.Lock()
	b.group.advance()
	b.down = true
	conns := b.conns
	b.conns = map[net.Conn]struct{}{}
	b.group.rec.line("backend: %s crashes with %d commits, primary %v", b.id, len(b.log), b.primary)
	b.group.mu.Unlock()
	_ = b.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

// awaitReplica waits until a replica, also one that is draining, has received the last
// commit of the session.
func (s *dbSession) awaitReplica() {
	c := s.unconfirmed
	s.unconfirmed = nil
	if c == nil {
		return
	}
	for !s.isReceived(c) && !s.broken {
		time.Sleep(time.Millisecond)
	}
}

// isReceived reports whether a replica has received a commit. It marks the session as
// broken if the backend has crashed or has been replaced.
func (s *dbSession) isReceived(c *commit) bool {
	g := s.b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	if s.b.down || s.b.left || g.leader != s.b {
		s.broken = true
		return false
	}
	for _, b := range g.backends {
		if b != s.b && !b.left && len(b.log) > 0 && b.has(c) {
			return true
		}
	}
	return false
}

// has reports whether the log of the backend has a commit. The caller holds the lock.
func (b *backend) has(c *commit) bool {
	for i := len(b.log) - 1; i >= 0; i-- {
		if b.log[i] == c {
			return true
		}
	}
	return false
}
