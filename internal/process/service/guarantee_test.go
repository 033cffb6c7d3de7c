package service_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/peer/platform"
	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/fleet"
	standin "rosemarylb/internal/standin/platform"

	"github.com/jackc/pgx/v5"
)

func TestTransactionsAreIsolatedOnSharedConnections(t *testing.T) {
	f := newFleet(t)
	var done sync.WaitGroup
	for n := range 12 {
		c := connect(t, f, n%len(f.Instances))
		done.Add(1)
		go func() {
			defer done.Done()
			for range 15 {
				if err := writePair(t.Context(), c, n+1); err != nil {
					t.Errorf("session %d: %v", n+1, err)
					return
				}
			}
		}()
	}
	done.Wait()
	var incomplete int
	err := connect(t, f, 0).QueryRow(t.Context(),
		"SELECT count(*) FROM (SELECT owner FROM pairs GROUP BY owner HAVING count(*) <> 30) AS torn").Scan(&incomplete)
	if err != nil {
		t.Fatal(err)
	}
	if incomplete != 0 {
		t.Errorf("got %d owners with an incomplete transaction, want none", incomplete)
	}
}

// writePair inserts two rows in a transaction and commits it, then does the same
// and rolls it back.
func writePair(ctx context.Context, c *pgx.Conn, owner int) error {
	for _, commit := range []bool{true, false} {
		tx, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		for half := range 2 {
			if _, err := tx.Exec(ctx, "INSERT INTO pairs (owner, half) VALUES ($1, $2)", owner, half); err != nil {
				return err
			}
		}
		if !commit {
			if err := tx.Rollback(ctx); err != nil {
				return err
			}
			continue
		}
		if err := tx.Commit(ctx); err != nil {
			return err
		}
	}
	return nil
}

func TestCanceledStatementEndsPromptly(t *testing.T) {
	f := newFleet(t)
	c := connect(t, f, 0)
	setFaultsOnAll(f, endpoint.Faults{
		StatementDelayMillis: 1500,
	})
	defer setFaultsOnAll(f, endpoint.Faults{})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := c.Exec(ctx, "SELECT count(*) FROM pairs")
	if err == nil {
		t.Fatal("got no error, want the statement canceled or timed out")
	}
	if got, want := time.Since(start), time.Second; got > want {
		t.Errorf("statement returned after %v, want within %v", got, want)
	}
}

func setFaultsOnAll(f *fleet.Fleet, faults endpoint.Faults) {
	for _, e := range f.Endpoints {
		e.SetFaults(faults)
	}
}

func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	f := newFleet(t)
	c := connect(t, f, 1)
	if _, err := c.Exec(t.Context(), "INSERT INTO pairs (owner, half) VALUES (90, 1)"); err != nil {
		t.Fatal(err)
	}
	leaving := f.Primary("book")
	d := overlay(t, f.Document(), fmt.Sprintf(
		"databases:\n  book:\n    endpoints:\n      %s:\n        leaving: true\n", leaving))
	if err := f.Publish(d); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(4 * time.Second)
	for f.Primary("book") == leaving && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if got := f.Primary("book"); got == leaving {
		t.Fatalf("got primary %s, want another endpoint", got)
	}
	time.Sleep(500 * time.Millisecond)
	for range 40 {
		if _, err := c.Exec(t.Context(), "INSERT INTO pairs (owner, half) VALUES (90, 1)"); err != nil {
			t.Fatal(err)
		}
		var n int
		if err := c.QueryRow(t.Context(), "SELECT count(*) FROM pairs WHERE owner = 90").Scan(&n); err != nil {
			t.Fatal(err)
		}
		var served string
		err := c.QueryRow(t.Context(), "SHOW rosemarylb.endpoint", pgx.QueryExecModeSimpleProtocol).Scan(&served)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(served, string(leaving)) {
			t.Fatalf("got a read served by %s, which is leaving", served)
		}
	}
}

func overlay(t *testing.T, base site.Document, text string) site.Document {
	t.Helper()
	d, err := site.NewDocument(site.File{
		Name: "base",
		Text: base.Render(false),
	}, site.File{
		Name: "overlay",
		Text: []byte(text),
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestRevisionReachesAllInstances(t *testing.T) {
	f := newFleet(t, fleet.WithInstancesPerDomain(3))
	tests := []struct {
		name   string
		faults standin.Faults
		limit  time.Duration
	}{
		{
			name:  "platform without faults",
			limit: time.Second,
		},
		{
			name: "watches broken",
			faults: standin.Faults{
				WatchesFail: true,
			},
			limit: 3 * time.Second,
		},
		{
			name: "response lost",
			faults: standin.Faults{
				DropResponses: 1,
			},
			limit: time.Second,
		},
	}
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.Platform.SetFaults(tt.faults)
			if tt.faults.WatchesFail {
				// Wait until the watches have failed and the watchers are in their
				// backoff before the next read.
				time.Sleep(time.Second)
			}
			published := time.Now()
			if err := f.Publish(overlay(t, f.Document(), fmt.Sprintf("limits:\n  queue: %d\n", 100+n))); err != nil {
				t.Fatal(err)
			}
			awaitRevision(t, f, published.Add(tt.limit))
			t.Logf("in force on %d instances after %v", len(f.Instances), time.Since(published))
		})
	}
}

// awaitRevision waits until all instances have the published revision in force.
func awaitRevision(t *testing.T, f *fleet.Fleet, deadline time.Time) {
	t.Helper()
	for _, i := range f.Instances {
		for i.View().ServiceConfig.Revision != f.Config.Revision {
			if time.Now().After(deadline) {
				t.Fatalf("%s has revision %d, want %d", i.View().Self.ID, i.View().ServiceConfig.Revision, f.Config.Revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func TestConcurrentPublicationsAcceptOnlyOne(t *testing.T) {
	p, stop, err := standin.NewServer("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	store := platform.NewHTTPStore("http://" + p.Address())
	seen, err := store.Get(t.Context(), platform.ConfigurationName)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	published := 0
	var done sync.WaitGroup
	for n := range 8 {
		done.Add(1)
		go func() {
			defer done.Done()
			outcome, err := platform.Publish(t.Context(), store, seen, fmt.Sprint(n), []byte(fmt.Sprint("document ", n)))
			if err != nil {
				t.Errorf("operator %d: %v", n, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if outcome.Published {
				published++
			}
			if outcome.Current.Revision != 1 {
				t.Errorf("operator %d: got revision %d standing, want 1", n, outcome.Current.Revision)
			}
		}()
	}
	done.Wait()
	if published != 1 {
		t.Errorf("got %d publications, want 1", published)
	}
}

func TestIsolatedPrimaryServesNoReadWithUnknownFloor(t *testing.T) {
	f := newFleet(t)
	ctx := t.Context()
	oldPrimary := f.Primary("book")
	writer := connect(t, f, 0)
	if _, err := writer.Exec(ctx, "INSERT INTO pairs (owner, half) VALUES (70, 1)"); err != nil {
		t.Fatal(err)
	}
	// The instances lose the control connections to the primary and elect another
	// one, while callers still reach the old primary.
	f.Endpoints[oldPrimary].SetFaults(endpoint.Faults{
		UnresponsiveTo:     []string{"control"},
		ReplicationStopped: true,
	})
	deadline := time.Now().Add(5 * time.Second)
	for f.Primary("book") == oldPrimary && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if f.Primary("book") == oldPrimary {
		t.Fatal("got no promotion, want one")
	}
	if _, err := writer.Exec(ctx, "INSERT INTO pairs (owner, half) VALUES (70, 2)"); err != nil {
		t.Fatal(err)
	}
	for n := range f.Instances {
		var got int
		err := connect(t, f, n).QueryRow(ctx, "SELECT count(*) FROM pairs WHERE owner = 70").Scan(&got)
		if err != nil {
			t.Fatal(err)
		}
		if want := 2; got != want {
			t.Errorf("instance %d: got %d rows, want %d", n, got, want)
		}
	}
}
