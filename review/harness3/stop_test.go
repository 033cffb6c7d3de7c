//go:build review

package harness3

import (
	"errors"
	"strings"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
)

func init() {
	cases["13"] = playLargeAnswerAtStop
}

const (
	// largeRowBytes is the size of the row that is read, half of the largest message.
	largeRowBytes = 512 << 10
	// clientLinkRate is the capacity of the client's way to the machine, in bits a second.
	clientLinkRate = 10_000_000
	// readAfterStop is when the row is read, after SIGTERM. Its server works on it until
	// idle sessions are being closed.
	readAfterStop = 1900 * time.Millisecond
	readWork      = 150 * time.Millisecond
	routeTimeout  = 1500 * time.Millisecond
)

// playLargeAnswerAtStop reads a row of 512 KiB from an instance that has got
// SIGTERM.
func playLargeAnswerAtStop(r *run) error {
	p, err := startPlatform(r, line.WithStatementTime(readWork))
	if err != nil {
		return err
	}
	p.putConfig(7, routeTimeout)
	instances, err := p.startInstances(3)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	i := instances[0]
	link, err := startLink(r, i.front, clientLinkRate)
	if err != nil {
		return err
	}
	writer, err := connect(i.front, "primary")
	if err != nil {
		return err
	}
	defer writer.close()
	row := strings.Repeat("x", largeRowBytes)
	if a, err := writer.query("w1", "WRITE item "+row, 5*time.Second); err != nil || a.code != "" {
		return errors.Join(errors.New("the row was not written: "+a.code), err)
	}
	calm, err := readRow(link, "r1")
	if err != nil || calm.code != "" || calm.rows[0] != row {
		return errors.Join(errors.New("the row was not read in calm: "+calm.code), err)
	}
	r.note("r1, in calm: COMPLETE %s after %d bytes", calm.signature, calm.bytes)
	reader, err := connect(link, "primary")
	if err != nil {
		return err
	}
	defer reader.close()
	stoppedAt := time.Now()
	if r.trouble {
		i.signal(syscall.SIGTERM)
		r.note("SIGTERM to %s", i.name)
	}
	time.Sleep(time.Until(stoppedAt.Add(readAfterStop)))
	sentAt := time.Now()
	r.note("QUERY r2 READ item sent")
	a, err := reader.query("r2", "READ item", 5*time.Second)
	took := time.Since(sentAt)
	ran := false
	for _, e := range p.group.Executions() {
		if e.ID == "r2" {
			ran = true
			r.note("server %s ran r2 %d ms after it was sent", e.Server, e.RanAt.Sub(sentAt).Milliseconds())
		}
	}
	r.note("r2: %d bytes, code %q, signature %q, state %q, error %v, after %d ms",
		a.bytes, a.code, a.signature, a.state, err, took.Milliseconds())
	if ran && errors.Is(err, errIncomplete) && took < routeTimeout {
		r.violation("LOST: the connection ended %d ms after SIGTERM with %d bytes of the answer, before the route's timeout",
			time.Since(stoppedAt).Milliseconds(), a.bytes)
	}
	return nil
}

// readRow reads the row in a session of its own.
func readRow(address, id string) (answer, error) {
	c, err := connect(address, "primary")
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	return c.query(id, "READ item", 5*time.Second)
}
