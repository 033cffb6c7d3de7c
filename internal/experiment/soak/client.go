package soak

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// handshakeTimeout bounds the reply to CONNECT.
	handshakeTimeout = 2 * time.Second
	// replyTimeout bounds the wait for a reply. It is longer than the timeout of
	// the routes, so that the proxy's own timeout comes first.
	replyTimeout = routeTimeout + 2*time.Second
	// keyCount is the number of keys that all callers share.
	keyCount = 24
	// unreadSlack is the age below which a request may be lost without a reply
	// when an instance shuts down: the instance may not have read it yet.
	unreadSlack = 200 * time.Millisecond
)

// routeKinds are the route types, each with the staleness that it allows.
var routeKinds = []struct {
	name           string
	staleness      time.Duration
	readYourWrites bool
}{
	{"primary", 0, false},
	{"bounded_staleness", 1500 * time.Millisecond, false},
	{"read_your_writes", 2500 * time.Millisecond, true},
}

// reply is the proxy's reply to one statement. The code is empty on success.
type reply struct {
	code             string
	rows             []string
	signature        string
	transactionState string
}

var errSessionRefused = errors.New("session refused")

// session is one caller connection to an instance.
type session struct {
	harness          *Harness
	number           int
	target           *instance
	routeKind        int
	group            string
	conn             net.Conn
	reader           *bufio.Reader
	variables        map[string]string
	prepared         map[string]string
	transactionState string
	random           *rand.Rand
	sequence         int
}

// connectRoute opens a session on a group's route of one kind at an instance.
func (h *Harness) connectRoute(target *instance, group string, kind int, random *rand.Rand) (*session, error) {
	return h.connectDatabase(target, group+"-"+routeKinds[kind].name, group, kind, random)
}

// connectDatabase opens a session on a database. It returns an error that wraps
// errSessionRefused, with the code, if the instance refuses the session.
func (h *Harness) connectDatabase(target *instance, database, group string, kind int, random *rand.Rand) (*session, error) {
	conn, err := net.DialTimeout("tcp", target.frontAddress, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{
		harness:          h,
		number:           int(h.sessionCount.Add(1)),
		target:           target,
		routeKind:        kind,
		group:            group,
		conn:             conn,
		reader:           bufio.NewReader(conn),
		variables:        map[string]string{},
		prepared:         map[string]string{},
		transactionState: "I",
		random:           random,
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	_, err = fmt.Fprintf(conn, "CONNECT %s u%d\r\n", database, s.number)
	if err == nil {
		var r reply
		r, err = s.readReply()
		if err == nil && r.code != "" {
			err = errors.Wrap(errSessionRefused, r.code)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() {
	_ = s.conn.Close()
}

// readReply reads messages up to the end of a reply. NODB ends a reply without
// READY.
func (s *session) readReply() (reply, error) {
	var r reply
	for {
		text, err := s.reader.ReadString('\n')
		if err != nil {
			if r.code != "" && s.transactionState == "" {
				return r, nil
			}
			return r, err
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
		switch verb {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
			if r.code == "NODB" {
				return r, nil
			}
		case "READY":
			r.transactionState, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, errors.Newf("unexpected message %q", text)
		}
	}
}

// roundTrip sends a statement and returns its reply. answeredByProxy is true for
// statements that the proxy answers without an endpoint.
func (s *session) roundTrip(op *operation, text, shape string, answeredByProxy bool) (reply, error) {
	s.sequence++
	q := &query{
		operation:       op,
		id:              fmt.Sprintf("%06x%010x", s.number, s.sequence),
		text:            text,
		shape:           shape,
		variables:       maps.Clone(s.variables),
		answeredByProxy: answeredByProxy,
	}
	s.harness.recorder.recordSent(q, text == "COMMIT" || !answeredByProxy && s.transactionState == "I")
	sentAt := time.Now()
	_ = s.conn.SetDeadline(sentAt.Add(replyTimeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", q.id, text); err != nil {
		return reply{}, err
	}
	r, err := s.readReply()
	if err != nil {
		s.checkMissingReply(q, sentAt, err)
		return r, err
	}
	s.transactionState = r.transactionState
	s.harness.recorder.recordReply(q, r)
	return r, nil
}

// checkMissingReply reports a request without a reply as late or lost, unless a
// fault was active within stableWindow before it was sent.
func (s *session) checkMissingReply(q *query, sentAt time.Time, err error) {
	now := time.Now()
	isTimeout := false
	var netErr net.Error
	if errors.As(err, &netErr) {
		isTimeout = netErr.Timeout()
	}
	faultFree := s.harness.faultFreeSince(sentAt.Add(-stableWindow))
	switch {
	case !faultFree:
	case isTimeout:
		s.harness.recorder.recordViolationf("LATE: %s got no reply from %s in %s", q.id, s.target.name, replyTimeout)
	case now.Sub(sentAt) > unreadSlack:
		s.harness.recorder.recordViolationf("LOST: %s got no reply from %s, whose connection broke %d ms after it was sent", q.id, s.target.name,
			now.Sub(sentAt).Milliseconds())
	}
}

func (s *session) newOperation() *operation {
	k := routeKinds[s.routeKind]
	op := &operation{
		session:        s.number,
		group:          s.group,
		staleness:      k.staleness,
		readYourWrites: k.readYourWrites,
	}
	s.harness.recorder.addOperation(op)
	return op
}

func (s *session) randomKey() string {
	return "k" + strconv.Itoa(s.random.IntN(keyCount))
}

// runStatement runs one statement as an operation. It reports whether the
// statement succeeded and whether the session can be used further.
func (s *session) runStatement(text, shape string) (succeeded, usable bool) {
	op := s.newOperation()
	r, err := s.roundTrip(op, text, shape, false)
	if err != nil {
		return false, false
	}
	if r.code == "" {
		s.harness.recorder.recordSuccess(op)
	}
	return r.code == "", s.transactionState == "I"
}

func (s *session) write() (succeeded, usable bool) {
	return s.runStatement("WRITE "+s.randomKey()+" v"+strconv.Itoa(s.number)+"-"+strconv.Itoa(s.sequence), "")
}

func (s *session) read() (succeeded, usable bool) {
	return s.runStatement("READ "+s.randomKey(), "")
}

// pause is the time between two statements of a transaction. Some are so long that the
// primary may be replaced meanwhile.
func (s *session) pause() time.Duration {
	limit := 12 * time.Millisecond
	if s.random.IntN(5) == 0 {
		limit = time.Second
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}

// transactionStatement returns a statement of a transaction and the shape of the
// prepared statement that it executes, empty for none.
func (s *session) transactionStatement(readOnly bool) (text, shape string) {
	if s.random.IntN(2) == 0 {
		for name, shape := range s.prepared {
			if !readOnly || shape[0] == 'r' {
				return s.executeText(name, shape), shape
			}
		}
	}
	if !readOnly && s.random.IntN(3) == 0 {
		return "WRITE " + s.randomKey() + " t" + strconv.Itoa(s.number) + "-" + strconv.Itoa(s.sequence), ""
	}
	return "READ " + s.randomKey(), ""
}

// transaction runs a transaction of up to six statements with pauses between
// them, and reports whether the session can be used further. Some transactions set
// variables or prepare statements, some are rolled back and some are abandoned with
// the connection.
func (s *session) transaction() bool {
	op := s.newOperation()
	readOnly := s.random.IntN(3) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	if r, err := s.roundTrip(op, begin, "", true); err != nil || r.code != "" {
		return err == nil && s.transactionState == "I"
	}
	for range 1 + s.random.IntN(6) {
		if s.random.IntN(4) == 0 && !s.setOrPrepare(op) {
			return false
		}
		text, shape := s.transactionStatement(readOnly)
		r, err := s.roundTrip(op, text, shape, false)
		if err != nil {
			return false
		}
		if r.code != "" || s.transactionState != "T" {
			return s.rollBack(op)
		}
		time.Sleep(s.pause())
		if s.random.IntN(60) == 0 {
			return false
		}
	}
	if s.random.IntN(8) == 0 {
		return s.rollBack(op)
	}
	r, err := s.roundTrip(op, "COMMIT", "", false)
	if err != nil {
		return false
	}
	if r.code == "" {
		s.harness.recorder.recordSuccess(op)
	}
	return s.transactionState == "I"
}

func (s *session) rollBack(op *operation) bool {
	if s.transactionState == "I" {
		return true
	}
	r, err := s.roundTrip(op, "ROLLBACK", "", true)
	return err == nil && r.code == "" && s.transactionState == "I"
}

// setOrPrepare sets a session variable or prepares a statement within an operation. It
// reports whether the session can be used further.
func (s *session) setOrPrepare(op *operation) bool {
	name := "s" + strconv.Itoa(s.random.IntN(3))
	if s.random.IntN(2) == 0 {
		value := "x" + strconv.Itoa(s.random.IntN(3))
		r, err := s.roundTrip(op, "SET "+name+" "+value, "", true)
		if err != nil || r.code != "" {
			return false
		}
		s.variables[name] = value
		return true
	}
	shape, access := "r"+strconv.Itoa(s.random.IntN(4)), "READ"
	if s.random.IntN(3) == 0 {
		shape, access = "w"+strconv.Itoa(s.random.IntN(4)), "WRITE"
	}
	r, err := s.roundTrip(op, "PREPARE "+name+" "+access+" "+shape, "", true)
	if err != nil || r.code != "" {
		return false
	}
	s.prepared[name] = shape
	return true
}

// executeText returns the statement that executes a prepared one.
func (s *session) executeText(name, shape string) string {
	text := "EXECUTE " + name + " " + s.randomKey()
	if shape[0] == 'w' {
		text += " e" + strconv.Itoa(s.number) + "-" + strconv.Itoa(s.sequence)
	}
	return text
}

// executePrepared executes one of the session's prepared statements, if it has any.
func (s *session) executePrepared() bool {
	for name, shape := range s.prepared {
		_, usable := s.runStatement(s.executeText(name, shape), shape)
		return usable
	}
	return true
}

// runOperation runs one random operation and reports whether the session can be
// used further.
func (s *session) runOperation() bool {
	var usable bool
	switch s.random.IntN(10) {
	case 0:
		usable = s.setOrPrepare(s.newOperation())
	case 1, 2:
		usable = s.executePrepared()
	case 3, 4:
		_, usable = s.write()
	case 5:
		usable = s.transaction()
	default:
		_, usable = s.read()
	}
	time.Sleep(time.Duration(5+s.random.IntN(30)) * time.Millisecond)
	return usable
}

// runCaller opens sessions on random instances, one after the other, until the
// harness stops. A session ends after a random number of operations, or once it
// can't be used further.
func (h *Harness) runCaller(random *rand.Rand) {
	for !h.stopping.Load() {
		target := h.instances[random.IntN(len(h.instances))]
		group := h.groupNames[random.IntN(len(h.groupNames))]
		s, err := h.connectRoute(target, group, random.IntN(len(routeKinds)), random)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for n := 1 + random.IntN(120); n > 0 && !h.stopping.Load() && s.runOperation(); n-- {
			continue
		}
		s.close()
	}
}
