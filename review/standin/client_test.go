//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// linkDelay is the one-way delay between a client and a machine on the sheets.
const linkDelay = time.Millisecond

var lastStatement atomic.Int64

// newID returns a statement id that no other statement has.
func newID() string {
	return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastStatement.Add(1))
}

// session is a client's connection.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

var errRefused = errors.New("session refused")

// connect opens a session. The client waits 2 s for READY.
func connect(m *machine, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "CONNECT %s u1\r\n", database); err == nil {
		var text string
		text, err = s.reader.ReadString('\n')
		if err == nil && !strings.HasPrefix(text, "READY") {
			err = errRefused
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

// answer is the outcome of one statement.
type answer struct {
	id         string
	text       string
	sentAt     time.Time
	answeredAt time.Time
	// code is OK or the error's code; it is empty if there was no complete answer.
	code      string
	rows      []string
	signature string
	closed    error
}

// do sends one statement and reads its answer, within the client's deadline.
func (s *session) do(text string, deadline time.Duration) answer {
	a := answer{
		id:   newID(),
		text: text,
	}
	time.Sleep(linkDelay)
	_ = s.conn.SetDeadline(time.Now().Add(deadline))
	a.sentAt = time.Now()
	_, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", a.id, text)
	code := "OK"
	for err == nil {
		var message string
		message, err = s.reader.ReadString('\n')
		if err != nil {
			break
		}
		verb, rest, _ := strings.Cut(strings.TrimRight(message, "\r\n"), " ")
		switch verb {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.code = code
			a.answeredAt = time.Now()
			time.Sleep(linkDelay)
			return a
		}
	}
	a.answeredAt = time.Now()
	a.closed = err
	return a
}
