//go:build review

package harness3

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// client is a session of a caller.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the answer to a statement.
type answer struct {
	rows      []string
	signature string
	code      string
	state     string
	// bytes is how much of the answer arrived.
	bytes int
}

// errIncomplete is returned when the connection ends before the answer does.
var errIncomplete = errors.New("the connection ended within the answer")

// connect opens a session to a database at an address.
func connect(address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "CONNECT %s key\r\n", database); err != nil {
		_ = conn.Close()
		return nil, err
	}
	a, err := c.receive()
	if err != nil || a.code != "" {
		_ = conn.Close()
		return nil, fmt.Errorf("connect: %q %w", a.code, err)
	}
	return c, nil
}

// send sends a statement.
func (c *client) send(id, text string) error {
	_, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	return err
}

// query sends a statement and returns its answer.
func (c *client) query(id, text string, timeout time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if err := c.send(id, text); err != nil {
		return answer{}, err
	}
	return c.receive()
}

// receive reads an answer.
func (c *client) receive() (answer, error) {
	var a answer
	for {
		text, err := c.reader.ReadString('\n')
		a.bytes += len(text)
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return a, err
			}
			if errors.Is(err, io.EOF) || a.bytes > 0 {
				return a, errors.Join(errIncomplete, err)
			}
			return a, err
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
		switch verb {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *client) close() {
	_ = c.conn.Close()
}
