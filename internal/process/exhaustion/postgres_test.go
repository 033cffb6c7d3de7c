package exhaustion

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// startService starts an instance with the PostgreSQL front end, and the stand-ins
// that it needs, and waits until it serves a request.
func startService(t *testing.T) (p *process, address string) {
	t.Helper()
	platformURL := "http://" + startStandin(t, "platform")
	config := "service: test\nregions:\n  hills:\n    domains:\n      d0:\ndatabases:\n  book:\n    endpoints:\n"
	for n := range 3 {
		name := "book-" + strconv.Itoa(n)
		endpoint := startStandin(t, "endpoint", "--name", name, "--control", newAddress(t))
		config += fmt.Sprintf("      %s:\n        address: %q\n        domain: d0\n        connections: 8\n", name, endpoint)
	}
	base := filepath.Join(t.TempDir(), "base.yaml")
	if err := os.WriteFile(base, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	apply := exec.Command(filepath.Join(binaryFolder, "rosemarylb"), "config", "apply", "--base", base, "--platform", platformURL)
	if out, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("config apply: %v: %s", err, out)
	}
	address = newAddress(t)
	instanceAddress := newAddress(t)
	p = startProcess(t, "rosemarylb", []string{
		"ROSEMARYLB_MEMORY_MB=" + strconv.Itoa(memoryMegabytes),
		"ROSEMARYLB_MAX_FDS=" + strconv.Itoa(maxDescriptors),
	}, "serve", "--instance", "i0", "--domain", "d0", "--region", "hills", "--caller-address", address,
		"--instance-address", instanceAddress, "--operator-address", newAddress(t), "--platform", platformURL)
	r, err := http.NewRequest(http.MethodPut, platformURL+"/instances", strings.NewReader(fmt.Sprintf(
		`{"items":[{"name":"i0","address":%q,"domain":"d0","region":"hills"}]}`, instanceAddress)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	checkPostgres(t, address, "CREATE TABLE IF NOT EXISTS jobs (id INTEGER PRIMARY KEY, note TEXT)")
	return p, address
}

// startStandin starts a stand-in and returns the address that it prints.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	p := startProcess(t, "standin", nil, args...)
	var address string
	retry(t, func() error {
		text, err := os.ReadFile(p.output)
		if err != nil || !strings.Contains(string(text), "\n") {
			return fmt.Errorf("no address of %s yet", args[0])
		}
		address, _, _ = strings.Cut(string(text), "\n")
		return nil
	})
	return address
}

// checkPostgres checks that an instance runs a statement on a new connection.
func checkPostgres(t *testing.T, address, statement string) {
	t.Helper()
	retry(t, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c, err := pgx.Connect(ctx, "postgres://fitter@"+address+"/book?sslmode=disable")
		if err != nil {
			return err
		}
		defer c.Close(ctx)
		_, err = c.Exec(ctx, statement)
		return err
	})
}

// encode returns a message in the PostgreSQL protocol.
func encode(m pgproto3.FrontendMessage) string {
	text, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return string(text)
}

func startup() string {
	return encode(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "fitter", "database": "book"},
	})
}

// sendMessages returns a member that sends a message count times. It reads the answers
// if reads is true.
func sendMessages(count int, message string, reads bool) member {
	return func(c net.Conn) {
		c.(*net.TCPConn).SetReadBuffer(4096)
		if reads {
			drain(c)
		}
		io.WriteString(c, startup())
		for range count {
			if _, err := io.WriteString(c, message); err != nil {
				return
			}
		}
		time.Sleep(holdTime)
	}
}

// prepareMany is a member that prepares large statements and keeps them.
func prepareMany(c net.Conn) {
	drain(c)
	io.WriteString(c, startup())
	for n := range 16 {
		io.WriteString(c, encode(&pgproto3.Parse{
			Name:  "s" + strconv.Itoa(n),
			Query: "SELECT " + strconv.Itoa(n) + " -- " + padding[:messageBytes],
		})+encode(&pgproto3.Sync{}))
	}
	time.Sleep(holdTime)
}

// TestLargestPostgresMessageIsServed guards against a limit that refuses a message
// inside the limits when there is no load.
func TestLargestPostgresMessageIsServed(t *testing.T) {
	p, address := startService(t)
	checkPostgres(t, address, "INSERT INTO jobs (note) VALUES ('"+padding[:messageBytes]+"')")
	p.checkLimits()
}

// TestPostgresCallers guards against callers of the PostgreSQL front end that fill the
// memory of an instance, or use up its descriptors.
func TestPostgresCallers(t *testing.T) {
	query := encode(&pgproto3.Query{
		String: "SELECT 1 -- " + padding[:messageBytes],
	})
	for _, test := range []struct {
		name   string
		count  int
		member member
	}{
		{"SendStatements", 64, sendMessages(32, query, true)},
		{"StopHalfWay", 192, sendMessages(1, query[:len(query)-4096], true)},
		{"ExceedMessageLimit", 160, sendMessages(64, "Q\x7f\x00\x00\x00"+padding, true)},
		{"LeaveAnswersUnread", 24, sendMessages(8000, encode(&pgproto3.Query{
			String: "SHOW rosemarylb." + padding[:1000],
		}), false)},
		{"KeepPreparedStatements", 24, prepareMany},
		{"OpenManyConnections", 600, sendMessages(0, "", true)},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, address := startService(t)
			disperse := runCrowd(t, address, test.count, test.member)
			p.checkLimits()
			disperse()
			checkPostgres(t, address, "SELECT 1")
		})
	}
}
