package line

import (
	"bufio"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// Run is one statement of a caller that an endpoint ran.
type Run struct {
	// ID is the caller's identity for it, and Text what was sent.
	ID, Text string
	// Server is the endpoint.
	Server string
	// Connection and Transaction number where it ran; a single statement has a
	// transaction of its own.
	Connection, Transaction int
	// Shape is what a prepared statement stood for.
	Shape string
	// Values are the session's values at the endpoint.
	Values map[string]string
	// Rows and Signature are what was answered.
	Rows      []string
	Signature string
	// At is when it ran.
	At time.Time

	log []*Commit
}

// Sees reports whether the log that a read ran on held a commit.
func (r Run) Sees(c Commit) bool {
	return c.Number <= len(r.log) && r.log[c.Number-1].IDs[0] == c.IDs[0]
}

// session is one connection to the endpoint.
type session struct {
	server      *Server
	number      int
	transaction int
	state       string
	readOnly    bool
	writes      map[string]string
	ids         []string
	values      map[string]string
	prepared    map[string]string
	lost        bool
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.conns[c] = struct{}{}
		s.group.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	g := s.group
	g.mu.Lock()
	g.serial++
	k := &session{
		server:   s,
		number:   g.serial,
		state:    "I",
		values:   map[string]string{},
		prepared: map[string]string{},
	}
	g.mu.Unlock()
	defer func() {
		_ = c.Close()
		g.mu.Lock()
		delete(s.conns, c)
		g.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		answer := ""
		switch verb {
		case "CONNECT":
			if answer = k.refused(strings.Fields(rest)); answer != "" {
				_, _ = c.Write([]byte(answer))
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			answer = k.take(id, text)
		default:
			return
		}
		if k.lost {
			return
		}
		g.mu.Lock()
		ready := "READY " + k.state + " " + position(s.term, s.applied()) + "\r\n"
		g.mu.Unlock()
		if _, err := c.Write([]byte(answer + ready)); err != nil {
			return
		}
	}
}

// refused returns the error that a connection is refused with, empty for none.
func (k *session) refused(f []string) string {
	s := k.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch {
	case len(f) == 3 && (f[0] != s.group.name || f[2] != s.id):
		return "ERROR WRONGNODE " + s.id + "\r\n"
	case s.group.capacity > 0 && len(s.conns) > s.group.capacity:
		return "ERROR CONNLIMIT " + s.id + "\r\n"
	default:
		return ""
	}
}

// take runs one statement in a slot.
func (k *session) take(id, text string) string {
	s := k.server
	s.group.mu.Lock()
	work, waiting := s.group.work, len(s.slots)
	s.group.mu.Unlock()
	if work > 0 && takesSlot(text) {
		if waiting >= slotCount+queueCount {
			return k.fail("BUSY")
		}
		s.slots <- struct{}{}
		time.Sleep(work)
		<-s.slots
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advance(time.Now())
	if s.stopped {
		k.lost = true
		return ""
	}
	answer := k.query(id, text)
	if id != "-" && happens(s.faults.LoseAnswer) {
		k.lost = true
	}
	return answer
}

func takesSlot(text string) bool {
	return !strings.HasPrefix(text, "SET") && !strings.HasPrefix(text, "PREPARE") && !strings.HasPrefix(text, "RESET")
}

// done answers with rows and a signature. The group is locked.
func (k *session) done(rows ...string) string {
	answer := ""
	for _, r := range rows {
		answer += "ROW " + r + "\r\n"
	}
	return answer + "COMPLETE " + k.signature() + "\r\n"
}

// signature signs the answer to what was noted last.
func (k *session) signature() string {
	g := k.server.group
	if !g.numbered {
		return "signed." + k.server.id
	}
	return "signed." + k.server.id + "." + strconv.Itoa(len(g.runs))
}

func (k *session) fail(code string) string {
	if k.state != "I" {
		k.state = "E"
	}
	return "ERROR " + code + " " + k.server.id + "\r\n"
}

// query runs one statement; the group is locked.
func (k *session) query(id, text string) string {
	s := k.server
	sent := text
	if rest, waits := strings.CutPrefix(text, "WAITPOS "); waits {
		at, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(at, ".")
		t, _ := strconv.Atoi(term)
		n, _ := strconv.Atoi(number)
		if !s.holds(t, n) {
			return k.fail("LAGGING")
		}
		text = statement
		sent = statement
	}
	f := strings.Fields(text)
	if len(f) == 0 {
		return k.fail("MALFORMED")
	}
	if k.state == "E" && f[0] != "ROLLBACK" && f[0] != "COMMIT" {
		return k.fail("MALFORMED")
	}
	if answer, took := k.control(f); took {
		return answer
	}
	switch f[0] {
	case "BEGIN":
		return k.begin(len(f) > 1)
	case "ROLLBACK":
		k.end()
		return "COMPLETE -\r\n"
	case "COMMIT":
		return k.commit(id, sent)
	case "EXECUTE":
		if len(f) < 3 {
			return k.fail("MALFORMED")
		}
		prepared, found := k.prepared[f[1]]
		if !found {
			return k.fail("NOSTMT")
		}
		access, shape, _ := strings.Cut(prepared, " ")
		return k.run(id, sent, shape, append([]string{access}, f[2:]...))
	default:
		return k.run(id, sent, "", f)
	}
}

// argumentCounts are how many arguments the statements of control take.
var argumentCounts = map[string]int{
	"PAUSE":    1,
	"STEPDOWN": 1,
	"SET":      2,
	"PREPARE":  3,
	"DEALLOC":  1,
}

// control takes what concerns the endpoint or the connection alone.
func (k *session) control(f []string) (answer string, took bool) {
	s := k.server
	if arguments, known := argumentCounts[f[0]]; known && len(f) != arguments+1 {
		return k.fail("MALFORMED"), true
	}
	switch f[0] {
	case "STATUS":
		return k.done(s.status()), true
	case "PAUSE":
		s.paused = !s.primary
		return k.done(s.status()), true
	case "RESUME":
		s.paused = false
		return k.done(s.status()), true
	case "STEPDOWN":
		if term, _ := strconv.Atoi(f[1]); s.term < term {
			s.primary = false
		}
		return k.done(s.status()), true
	case "SET":
		k.values = maps.Clone(k.values)
		k.values[f[1]] = f[2]
	case "RESET":
		k.values = map[string]string{}
		k.prepared = map[string]string{}
	case "PREPARE":
		k.prepared[f[1]] = f[2] + " " + f[3]
	case "DEALLOC":
		delete(k.prepared, f[1])
	default:
		return "", false
	}
	return "COMPLETE -\r\n", true
}

func (k *session) begin(readOnly bool) string {
	if !readOnly && !k.server.primary {
		return k.fail("READONLY")
	}
	k.server.group.serial++
	k.transaction = k.server.group.serial
	k.state, k.readOnly, k.writes = "T", readOnly, map[string]string{}
	k.ids = nil
	return "COMPLETE -\r\n"
}

func (k *session) end() {
	k.state, k.readOnly, k.writes, k.ids = "I", false, nil, nil
}

func (k *session) commit(id, text string) string {
	s := k.server
	writes, ids, failed := k.writes, append(k.ids, id), k.state != "T"
	defer k.end()
	switch {
	case failed:
		k.state = "I"
		return "ERROR ABORTED -\r\n"
	case len(writes) > 0 && !s.primary:
		k.state = "I"
		return "ERROR READONLY " + s.id + "\r\n"
	}
	if len(writes) > 0 {
		s.group.append(s, writes, ids, time.Now())
	}
	k.note(id, text, "", nil)
	return k.done()
}

// note keeps what ran.
func (k *session) note(id, text, shape string, rows []string) {
	g := k.server.group
	transaction := k.transaction
	if k.state == "I" {
		g.serial++
		transaction = g.serial
	}
	g.runs = append(g.runs, Run{})
	g.runs[len(g.runs)-1] = Run{
		ID:          id,
		Text:        text,
		Server:      k.server.id,
		Connection:  k.number,
		Transaction: transaction,
		Shape:       shape,
		Values:      k.values,
		Rows:        rows,
		Signature:   k.signature(),
		At:          time.Now(),
		log:         k.server.log[:k.server.applied()],
	}
}

// run reads or writes an item.
func (k *session) run(id, text, shape string, f []string) string {
	s := k.server
	plain := k.state == "T" && !k.readOnly
	switch {
	case plain && !s.primary:
		return k.fail("READONLY")
	case f[0] == "READ" && len(f) == 2:
		row, own := k.writes[f[1]]
		if !own {
			row = s.value(f[1])
		}
		k.note(id, text, shape, []string{row})
		if happens(s.faults.Fail) {
			return k.fail("FAILED")
		}
		return k.done(row)
	case f[0] != "WRITE" || len(f) != 3:
		return k.fail("MALFORMED")
	case !s.primary || k.readOnly:
		return k.fail("READONLY")
	}
	k.note(id, text, shape, nil)
	if k.state == "T" {
		k.writes[f[1]] = f[2]
		k.ids = append(k.ids, id)
		return k.done()
	}
	s.group.append(s, map[string]string{f[1]: f[2]}, []string{id}, time.Now())
	return k.done()
}
