//go:build review2

package harness2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client's session.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	rec  *record
	name string
}

// reply is the answer to a query.
type reply struct {
	rows      []string
	signature string
	code      string
	state     string
	// lost is true if the connection ended without a complete answer.
	lost  bool
	bytes int
}

func (r reply) done() bool { return !r.lost && r.code == "" }

// isPromise reports whether the answer promises that nothing of the attempt is kept.
func (r reply) isPromise() bool {
	switch r.code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT":
		return !r.lost
	}
	return false
}

func (r reply) String() string {
	switch {
	case r.lost:
		return fmt.Sprintf("connection ended (%d bytes of the answer)", r.bytes)
	case r.code != "":
		return "ERROR " + r.code + " READY " + r.state
	}
	return fmt.Sprintf("%d rows COMPLETE %s READY %s", len(r.rows), r.signature, r.state)
}

// isPaced makes clients read as over a link of 1,000 Mbit/s with a small window.
var isPaced bool

// pacedBytes is that window, and the size of one read.
const pacedBytes = 64 << 10

// nanosPerByte is the time of one byte on a link of 1,000 Mbit/s.
const nanosPerByte = 8

// pacedReader reads from a connection as fast as the link allows.
type pacedReader struct {
	conn net.Conn
}

// Read implements io.Reader.
func (r pacedReader) Read(data []byte) (int, error) {
	n, err := r.conn.Read(data)
	time.Sleep(time.Duration(n) * nanosPerByte)
	return n, err
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("q%06x", lastID.Add(1)) }

func connect(rec *record, name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReaderSize(conn, 1<<16), rec: rec, name: name}
	if isPaced {
		_ = conn.(*net.TCPConn).SetReadBuffer(pacedBytes)
		c.r = bufio.NewReaderSize(pacedReader{conn}, pacedBytes)
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write([]byte("CONNECT " + database + " u1\r\n")); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if r := c.receive(); !r.done() {
		_ = conn.Close()
		return nil, fmt.Errorf("CONNECT: %v", r)
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

// send sends a query.
func (c *client) send(id, text string) {
	c.rec.line("sent: %s %s %q", c.name, id, shorten(text))
	_, _ = c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n"))
}

// receive reads one answer.
func (c *client) receive() reply {
	var r reply
	for {
		text, err := c.r.ReadString('\n')
		r.bytes += len(text)
		if err != nil {
			r.lost = true
			return r
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
		switch verb {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r
		}
	}
}

// query sends a query and waits for its answer.
func (c *client) query(text string) (string, reply) {
	id := newID()
	c.send(id, text)
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := c.receive()
	c.rec.line("answered: %s %s %v", c.name, id, r)
	return id, r
}

func (c *client) close() { _ = c.conn.Close() }
