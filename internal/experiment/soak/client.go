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
	// welcomeTimeout is how long a caller waits to be welcomed.
	welcomeTimeout = 2 * time.Second
	// answerTimeout is how long a caller waits for an answer, longer than a
	// route's timeout.
	answerTimeout = routeTimeout + 2*time.Second
	// itemCount is how many items the callers share.
	itemCount = 24
	// lossSlack is how long after its last byte a request may be lost to the
	// planned end of an instance: it may not have been read yet.
	lossSlack = 200 * time.Millisecond
)

// routeKinds are the kinds of routes, each with the staleness that it allows.
var routeKinds = []struct {
	name      string
	staleness time.Duration
	own       bool
}{
	{"primary", 0, false},
	{"bounded_staleness", 1500 * time.Millisecond, false},
	{"read_your_writes", 2500 * time.Millisecond, true},
}

// answer is what a caller got for a statement.
type answer struct {
	code      string
	rows      []string
	signature string
	state     string
}

var errWelcome = errors.New("the session was not welcomed")

// session is a caller's connection.
type session struct {
	world  *World
	number int
	target *instance
	kind   int
	group  string
	conn   net.Conn
	in     *bufio.Reader
	values map[string]string
	shapes map[string]string
	state  string
	random *rand.Rand
	next   int
}

// connect opens a session to a database at an instance.
func (w *World) connect(target *instance, group string, kind int, random *rand.Rand) (*session, error) {
	return w.open(target, group+"-"+routeKinds[kind].name, group, kind, random)
}

func (w *World) open(target *instance, database, group string, kind int, random *rand.Rand) (*session, error) {
	conn, err := net.DialTimeout("tcp", target.front, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{
		world:  w,
		number: int(w.sessions.Add(1)),
		target: target,
		kind:   kind,
		group:  group,
		conn:   conn,
		in:     bufio.NewReader(conn),
		values: map[string]string{},
		shapes: map[string]string{},
		state:  "I",
		random: random,
	}
	_ = conn.SetDeadline(time.Now().Add(welcomeTimeout))
	_, err = fmt.Fprintf(conn, "CONNECT %s u%d\r\n", database, s.number)
	if err == nil {
		var r answer
		r, err = s.receive()
		if err == nil && r.code != "" {
			err = errors.Wrap(errWelcome, r.code)
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

// receive reads a whole answer.
func (s *session) receive() (answer, error) {
	var r answer
	for {
		text, err := s.in.ReadString('\n')
		if err != nil {
			if r.code != "" && s.state == "" {
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
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, errors.Newf("message %q", text)
		}
	}
}

// ask sends a statement and returns its answer.
func (s *session) ask(a *attempt, text, shape string, control bool) (answer, error) {
	s.next++
	q := &query{
		attempt: a,
		id:      fmt.Sprintf("%06x%010x", s.number, s.next),
		text:    text,
		shape:   shape,
		values:  maps.Clone(s.values),
		control: control,
	}
	s.world.ledger.send(q, text == "COMMIT" || !control && s.state == "I")
	sentAt := time.Now()
	_ = s.conn.SetDeadline(sentAt.Add(answerTimeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", q.id, text); err != nil {
		return answer{}, err
	}
	r, err := s.receive()
	if err != nil {
		s.broken(q, sentAt, err)
		return r, err
	}
	s.state = r.state
	s.world.ledger.answered(q, r)
	return r, nil
}

// broken looks at a request that got no answer.
func (s *session) broken(q *query, sentAt time.Time, err error) {
	now := time.Now()
	timeout := false
	var ne net.Error
	if errors.As(err, &ne) {
		timeout = ne.Timeout()
	}
	quiet := s.world.calmSince(sentAt.Add(-stableWindow))
	switch {
	case !quiet:
	case timeout:
		s.world.ledger.violatef("LATE: %s got no answer from %s in %s", q.id, s.target.name, answerTimeout)
	case now.Sub(sentAt) > lossSlack:
		s.world.ledger.violatef("LOST: %s was cut off by %s %d ms after it was sent", q.id, s.target.name,
			now.Sub(sentAt).Milliseconds())
	}
}

func (s *session) newAttempt() *attempt {
	k := routeKinds[s.kind]
	a := &attempt{
		session:   s.number,
		group:     s.group,
		staleness: k.staleness,
		own:       k.own,
	}
	s.world.ledger.add(a)
	return a
}

func (s *session) item() string {
	return "k" + strconv.Itoa(s.random.IntN(itemCount))
}

// single runs one statement as an operation of its own; it reports whether it
// was served and whether the session goes on.
func (s *session) single(text, shape string) (served, open bool) {
	a := s.newAttempt()
	r, err := s.ask(a, text, shape, false)
	if err != nil {
		return false, false
	}
	if r.code == "" {
		s.world.ledger.finish(a)
	}
	return r.code == "", s.state == "I"
}

func (s *session) write() (served, open bool) {
	return s.single("WRITE "+s.item()+" v"+strconv.Itoa(s.number)+"-"+strconv.Itoa(s.next), "")
}

func (s *session) read() (served, open bool) {
	return s.single("READ "+s.item(), "")
}

// transaction runs up to six statements with pauses; some roll back and some
// callers leave.
func (s *session) transaction() bool {
	a := s.newAttempt()
	readOnly := s.random.IntN(3) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	if r, err := s.ask(a, begin, "", true); err != nil || r.code != "" {
		return err == nil && s.state == "I"
	}
	for range 1 + s.random.IntN(6) {
		text := "READ " + s.item()
		if !readOnly && s.random.IntN(3) == 0 {
			text = "WRITE " + s.item() + " t" + strconv.Itoa(s.number) + "-" + strconv.Itoa(s.next)
		}
		r, err := s.ask(a, text, "", false)
		if err != nil {
			return false
		}
		if r.code != "" || s.state != "T" {
			return s.rollBack(a)
		}
		time.Sleep(time.Duration(s.random.IntN(12)) * time.Millisecond)
		if s.random.IntN(60) == 0 {
			return false
		}
	}
	if s.random.IntN(8) == 0 {
		return s.rollBack(a)
	}
	r, err := s.ask(a, "COMMIT", "", false)
	if err != nil {
		return false
	}
	if r.code == "" {
		s.world.ledger.finish(a)
	}
	return s.state == "I"
}

func (s *session) rollBack(a *attempt) bool {
	if s.state == "I" {
		return true
	}
	r, err := s.ask(a, "ROLLBACK", "", true)
	return err == nil && r.code == "" && s.state == "I"
}

// setUp gives a value or prepares a statement.
func (s *session) setUp() bool {
	a := s.newAttempt()
	name := "s" + strconv.Itoa(s.random.IntN(3))
	if s.random.IntN(2) == 0 {
		value := "x" + strconv.Itoa(s.random.IntN(3))
		r, err := s.ask(a, "SET "+name+" "+value, "", true)
		if err != nil || r.code != "" {
			return false
		}
		s.values[name] = value
		return true
	}
	shape, access := "r"+strconv.Itoa(s.random.IntN(4)), "READ"
	if s.random.IntN(3) == 0 {
		shape, access = "w"+strconv.Itoa(s.random.IntN(4)), "WRITE"
	}
	r, err := s.ask(a, "PREPARE "+name+" "+access+" "+shape, "", true)
	if err != nil || r.code != "" {
		return false
	}
	s.shapes[name] = shape
	return true
}

func (s *session) execute() bool {
	for name, shape := range s.shapes {
		text := "EXECUTE " + name + " " + s.item()
		if shape[0] == 'w' {
			text += " e" + strconv.Itoa(s.number) + "-" + strconv.Itoa(s.next)
		}
		_, open := s.single(text, shape)
		return open
	}
	return true
}

// operate runs one operation; it reports whether the session goes on.
func (s *session) operate() bool {
	var open bool
	switch s.random.IntN(10) {
	case 0:
		open = s.setUp()
	case 1, 2:
		open = s.execute()
	case 3, 4:
		_, open = s.write()
	case 5:
		open = s.transaction()
	default:
		_, open = s.read()
	}
	time.Sleep(time.Duration(5+s.random.IntN(30)) * time.Millisecond)
	return open
}

// call plays one caller until the end of the run: sessions on random instances,
// each kept for a while or until it is closed.
func (w *World) call(random *rand.Rand) {
	for !w.ending.Load() {
		target := w.instances[random.IntN(len(w.instances))]
		group := w.names[random.IntN(len(w.names))]
		s, err := w.connect(target, group, random.IntN(len(routeKinds)), random)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for n := 1 + random.IntN(120); n > 0 && !w.ending.Load() && s.operate(); n-- {
			continue
		}
		s.close()
	}
}
