package exhaustion

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// messageBytes is just under the limit of a message.
	messageBytes = 1<<20 - 200
	// answerBytes is the length of the row that crowds read.
	answerBytes = 900 << 10
	// crowdTimeout ends the crowd: what the process has not taken by then is not
	// sent.
	crowdTimeout = 8 * time.Second
	// holdTime is how long a member keeps its connection open after it has sent
	// everything, so that the process takes it from the socket.
	holdTime = 3 * time.Second
)

// padding fills messages.
var padding = strings.Repeat("x", 1<<20)

// member is one client of a crowd. It returns when it has sent everything, or at an
// error, as the process may close its connection.
type member func(c net.Conn)

// runCrowd runs the members of a crowd at the same time and returns when all have
// sent. Their connections stay open until the returned function is called.
func runCrowd(t *testing.T, address string, count int, run member) (disperse func()) {
	t.Helper()
	deadline := time.Now().Add(crowdTimeout)
	var (
		mu     sync.Mutex
		conns  []net.Conn
		active sync.WaitGroup
	)
	for range count {
		active.Go(func() {
			d := net.Dialer{
				Deadline: deadline,
			}
			c, err := d.Dial("tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			c.SetDeadline(deadline)
			run(c)
		})
	}
	active.Wait()
	disperse = sync.OnceFunc(func() {
		for _, c := range conns {
			c.Close()
		}
	})
	t.Cleanup(disperse)
	return disperse
}

// dialect is the form in which a crowd opens sessions and sends statements.
type dialect struct {
	connect string
	// query precedes each statement.
	query string
}

var (
	callerDialect = dialect{
		connect: "CONNECT " + database + " -\r\n",
		query:   "QUERY q ",
	}
	relayDialect = dialect{
		connect: "CONNECT " + group + " front-1 " + primary + "\r\n",
		query:   "QUERY q FOR 1 3000 ",
	}
)

// drain discards answers until the connection ends.
func drain(c net.Conn) {
	go io.Copy(io.Discard, c)
}

// sendStatements returns a member that sends pipelined statements of up to 1 MiB in
// pieces of the given size, and reads the answers.
func sendStatements(d dialect, count, pieceBytes int, statement func(n int) string) member {
	return func(c net.Conn) {
		drain(c)
		c.Write([]byte(d.connect))
		for n := range count {
			start := d.query + statement(n)
			message := start + padding[:messageBytes-len(start)] + "\r\n"
			for len(message) > 0 {
				size := min(pieceBytes, len(message))
				if _, err := io.WriteString(c, message[:size]); err != nil {
					return
				}
				message = message[size:]
			}
		}
		time.Sleep(holdTime)
	}
}

// read returns a statement that endpoints refuse without keeping a record of it.
func read(int) string {
	return "READ item "
}

func set(n int) string {
	return "SET name" + strconv.Itoa(n) + " "
}

func prepare(n int) string {
	return "PREPARE name" + strconv.Itoa(n) + " READ "
}

// stopHalfWay returns a member that sends most of a message and waits.
func stopHalfWay(d dialect) member {
	return func(c net.Conn) {
		c.Write([]byte(d.connect + d.query + "READ "))
		for range (messageBytes - 4096) >> 14 {
			if _, err := io.WriteString(c, padding[:1<<14]); err != nil {
				return
			}
		}
		time.Sleep(holdTime)
	}
}

// exceedLimit returns a member that sends a message of 64 MiB.
func exceedLimit(d dialect) member {
	return func(c net.Conn) {
		drain(c)
		c.Write([]byte(d.connect + d.query + "READ "))
		for range 64 {
			if _, err := io.WriteString(c, padding); err != nil {
				return
			}
		}
	}
}

// ignoreAnswers returns a member that sends statements and reads no answer.
func ignoreAnswers(d dialect, count int, statement string) member {
	return func(c net.Conn) {
		c.(*net.TCPConn).SetReadBuffer(4096)
		c.Write([]byte(d.connect))
		for range count {
			if _, err := io.WriteString(c, d.query+statement+"\r\n"); err != nil {
				return
			}
		}
		time.Sleep(holdTime)
	}
}

// readSlowly returns a member that reads answers at 64 KiB in a second.
func readSlowly(d dialect, count int, statement string) member {
	return func(c net.Conn) {
		c.(*net.TCPConn).SetReadBuffer(4096)
		c.Write([]byte(d.connect))
		go io.WriteString(c, strings.Repeat(d.query+statement+"\r\n", count))
		buffer := make([]byte, 3200)
		for range 60 {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendSlowly returns a member that sends a statement byte by byte.
func sendSlowly(d dialect) member {
	return func(c net.Conn) {
		drain(c)
		for _, b := range []byte(d.connect + d.query + "READ item\r\n") {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// connectOnly returns a member that opens a session and sends nothing more.
func connectOnly(d dialect) member {
	return func(c net.Conn) {
		c.Write([]byte(d.connect))
		time.Sleep(holdTime)
	}
}
