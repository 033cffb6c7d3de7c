package instance

import (
	"reflect"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
)

func testCatalog(version uint64) rosemarylb.Catalog {
	return rosemarylb.Catalog{
		Version: version,
		Routes: map[string]rosemarylb.Route{
			"db": {
				Database:        "db",
				Group:           "g",
				Consistency:     rosemarylb.ConsistencySession,
				StalenessMillis: 1500,
				TimeoutMillis:   3000,
				Rank:            1,
				AuthExempt:      true,
			},
		},
		Groups: map[rosemarylb.DatabaseName]rosemarylb.Group{
			"g": {
				Name:           "g",
				MaxConnections: 70,
				SyncReplicas:   1,
			},
		},
		TransactionIdleMillis: 2000,
	}
}

// A configuration that arrives from another instance has to be the one that was sent,
// also where it has no teams or an empty list of them.
func TestCatalogSurvivesEncoding(t *testing.T) {
	plain := testCatalog(7)
	for name, want := range map[string]rosemarylb.Catalog{
		"without authentication": plain,
		"without teams":          plain.WithTeams(nil),
		"with teams": plain.WithTeams([]rosemarylb.Team{{
			Name: "a",
			Keys: []rosemarylb.KeyDigest{
				rosemarylb.NewKeyDigest("k1"),
				rosemarylb.NewKeyDigest("k2"),
			},
			RatePerSecond: 2.5,
			Burst:         10,
			Priority:      1,
		}}),
	} {
		got, err := decodeCatalog(encodeCatalog(want))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v, want %+v", name, got, err, want)
		}
	}
	if _, err := decodeCatalog([]byte("no configuration")); !errors.Is(err, errInvalidCatalog) {
		t.Errorf("got %v for a malformed configuration, want %v", err, errInvalidCatalog)
	}
}

// An instance sends its configuration once to a holder that has an older one, again if
// the holder does not confirm it, and to no other holder.
func TestCatalogIsSentToHolderWithOlderOne(t *testing.T) {
	current := duty.NewLatest(testCatalog(9))
	e := &catalogExchange{
		current: current,
	}
	now := time.Unix(100, 0)
	steps := []struct {
		name     string
		after    time.Duration
		announce uint64
		token    uint64
		want     bool
	}{
		{"holder has an older one", 0, 8, 5, true},
		{"sent already", 120 * time.Millisecond, 8, 5, false},
		{"not confirmed", catalogResendInterval, 8, 5, true},
		{"confirmed", 120 * time.Millisecond, 9, 5, false},
		{"another holder without one", 0, 0, 6, true},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if err := e.receive(&link.PermitReply{
			CatalogHeld: s.announce,
		}, s.token); err != nil {
			t.Fatal(err)
		}
		if got := e.contentFor(s.token, now) != nil; got != s.want {
			t.Errorf("%s: got content %t, want %t", s.name, got, s.want)
		}
	}
	if e.contentFor(7, now.Add(time.Minute)) != nil {
		t.Error("got content for a holder that has announced nothing")
	}
}
