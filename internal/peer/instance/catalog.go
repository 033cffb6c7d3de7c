package instance

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"sync"

	"rosemarylb"
	"rosemarylb/internal/message/link"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxCatalogBytes is the maximum compressed size of a configuration in a request
	// or reply. A machine with 10 Mbit/s receives it within requestTimeout; instances
	// fetch a larger configuration from the store.
	maxCatalogBytes = 256 << 10
	// maxInflatedBytes is the maximum size of a configuration after decompression. It
	// bounds the memory that a malformed message can take.
	maxInflatedBytes = 8 << 20
)

var invalidCatalogs = metrics.NewCounter(`rosemarylb_link_invalid_configurations_total`)

// errInvalidCatalog is returned for a configuration that cannot be decoded.
var errInvalidCatalog = errors.New("invalid configuration")

// catalogEncoder encodes configurations for requests or replies. It keeps the last
// result, so that a version is compressed once and not for each message. It is safe
// for concurrent use.
type catalogEncoder struct {
	mu      sync.Mutex
	version uint64
	encoded []byte
}

// encode returns the compressed form of a configuration, nil if it is larger than
// maxCatalogBytes.
func (e *catalogEncoder) encode(c rosemarylb.Catalog) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != c.Version {
		e.version = c.Version
		e.encoded = encodeCatalog(c)
		if len(e.encoded) > maxCatalogBytes {
			e.encoded = nil
		}
	}
	return e.encoded
}

func encodeCatalog(c rosemarylb.Catalog) []byte {
	m := &link.Catalog{
		Version:               c.Version,
		TransactionIdleMillis: c.TransactionIdleMillis,
		Authenticates:         c.Authenticates(),
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		m.Routes = append(m.Routes, &link.CatalogRoute{
			Database:        r.Database,
			Group:           string(r.Group),
			Consistency:     uint32(r.Consistency),
			StalenessMillis: r.StalenessMillis,
			TimeoutMillis:   r.TimeoutMillis,
			Rank:            uint32(r.Rank),
			AuthExempt:      r.AuthExempt,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Groups)) {
		m.Groups = append(m.Groups, &link.CatalogGroup{
			Name:           string(name),
			MaxConnections: int64(c.Groups[name].MaxConnections),
			SyncReplicas:   int64(c.Groups[name].SyncReplicas),
		})
	}
	teams := slices.SortedFunc(c.Teams(), func(x, y rosemarylb.Team) int {
		return cmp.Compare(x.Name, y.Name)
	})
	for _, t := range teams {
		m.Teams = append(m.Teams, encodeTeam(t))
	}
	encoded, err := proto.Marshal(m)
	rosemarylb.Invariantf(err == nil, "encode the configuration: %v", err)
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	rosemarylb.Invariantf(err == nil, "compress the configuration: %v", err)
	_, _ = w.Write(encoded)
	_ = w.Close()
	return compressed.Bytes()
}

func encodeTeam(t rosemarylb.Team) *link.CatalogTeam {
	m := &link.CatalogTeam{
		Name:          string(t.Name),
		RatePerSecond: t.RatePerSecond,
		Burst:         t.Burst,
		Priority:      int64(t.Priority),
	}
	for _, digest := range t.Keys {
		m.KeyDigests = append(m.KeyDigests, digest[:])
	}
	return m
}

// decodeCatalog decodes a compressed configuration. It returns an error marked as
// errInvalidCatalog if it is malformed or larger than maxInflatedBytes.
func decodeCatalog(compressed []byte) (rosemarylb.Catalog, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	encoded, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes+1))
	if err != nil {
		return rosemarylb.Catalog{}, errors.Mark(err, errInvalidCatalog)
	}
	if len(encoded) > maxInflatedBytes {
		return rosemarylb.Catalog{}, errors.Wrap(errInvalidCatalog, "too large")
	}
	m := &link.Catalog{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return rosemarylb.Catalog{}, errors.Mark(err, errInvalidCatalog)
	}
	c := rosemarylb.Catalog{
		Version:               m.GetVersion(),
		Routes:                make(map[string]rosemarylb.Route, len(m.GetRoutes())),
		Groups:                make(map[rosemarylb.DatabaseName]rosemarylb.Group, len(m.GetGroups())),
		TransactionIdleMillis: m.GetTransactionIdleMillis(),
	}
	for _, r := range m.GetRoutes() {
		c.Routes[r.GetDatabase()] = decodeRoute(r)
	}
	for _, g := range m.GetGroups() {
		name := rosemarylb.DatabaseName(g.GetName())
		c.Groups[name] = rosemarylb.Group{
			Name:           name,
			MaxConnections: int(g.GetMaxConnections()),
			SyncReplicas:   int(g.GetSyncReplicas()),
		}
	}
	if !m.GetAuthenticates() {
		return c, nil
	}
	teams := make([]rosemarylb.Team, 0, len(m.GetTeams()))
	for _, t := range m.GetTeams() {
		team, err := decodeTeam(t)
		if err != nil {
			return rosemarylb.Catalog{}, err
		}
		teams = append(teams, team)
	}
	return c.WithTeams(teams), nil
}

// decodeRoute decodes a route. An unknown consistency level becomes the strongest
// one, and a rank out of range the lowest.
func decodeRoute(m *link.CatalogRoute) rosemarylb.Route {
	r := rosemarylb.Route{
		Database:        m.GetDatabase(),
		Group:           rosemarylb.DatabaseName(m.GetGroup()),
		Consistency:     rosemarylb.ConsistencyPrimary,
		StalenessMillis: m.GetStalenessMillis(),
		TimeoutMillis:   m.GetTimeoutMillis(),
		Rank:            rosemarylb.Rank(min(m.GetRank(), rosemarylb.RankCount-1)),
		AuthExempt:      m.GetAuthExempt(),
	}
	if m.GetConsistency() <= uint32(rosemarylb.ConsistencySession) {
		r.Consistency = rosemarylb.Consistency(m.GetConsistency())
	}
	return r
}

func decodeTeam(m *link.CatalogTeam) (rosemarylb.Team, error) {
	t := rosemarylb.Team{
		Name:          rosemarylb.TeamName(m.GetName()),
		RatePerSecond: m.GetRatePerSecond(),
		Burst:         m.GetBurst(),
		Priority:      int(m.GetPriority()),
	}
	for _, digest := range m.GetKeyDigests() {
		var key rosemarylb.KeyDigest
		if len(digest) != len(key) {
			return rosemarylb.Team{}, errors.Wrap(errInvalidCatalog, "key digest")
		}
		t.Keys = append(t.Keys, rosemarylb.KeyDigest(digest))
	}
	return t, nil
}
