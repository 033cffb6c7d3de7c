package registry

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"rosemarylb"
)

// Configurations arrive from several sources in any order; an instance never goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	var got []uint64
	c := NewConfiguration(slog.New(slog.DiscardHandler), func(c rosemarylb.Catalog) {
		got = append(got, c.Version)
	})
	for _, version := range []uint64{3, 9, 7, 0, 9, 12, 3} {
		c.Handle(time.Unix(100, 0), ConfigurationReceived{
			Catalog: rosemarylb.Catalog{
				Version: version,
			},
		})
	}
	if want := []uint64{3, 9, 12}; !slices.Equal(got, want) {
		t.Errorf("got versions %v, want %v", got, want)
	}
}
