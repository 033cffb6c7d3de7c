package site

import (
	"fmt"
	"strings"

	"rosemarylb"
)

// Defaults of optional settings, and limits.
const (
	defaultSlots          = 2
	defaultConnections    = 15
	defaultQueueLimit     = 512
	defaultReplicaWait    = "20ms"
	defaultRequestTimeout = "10s"
	defaultDrainTimeout   = "10s"
	defaultTargetLatency  = "2s"
	// maxSharesPercent bounds the sum of the ranks' minimum shares.
	maxSharesPercent = 100
)

// defaultSharesPercent are the default minimum shares of the ranks, in percent.
var defaultSharesPercent = [rosemarylb.RankCount]int{0, 20, 10}

// configBuilder builds a configuration from settings and collects the faults.
type configBuilder struct {
	values             map[string]Setting
	regionOfDomain     map[string]string
	databaseOfEndpoint map[string]string
	children           map[string][]Setting
	config             rosemarylb.ServiceConfig
	faults             Faults
}

// ServiceConfig returns the configuration that the document describes. The returned
// error is of type Faults and contains all inconsistencies between settings.
func (d Document) ServiceConfig() (rosemarylb.ServiceConfig, error) {
	b := &configBuilder{
		values:             map[string]Setting{},
		regionOfDomain:     map[string]string{},
		databaseOfEndpoint: map[string]string{},
		children:           map[string][]Setting{},
	}
	b.indexChildren(d)
	for _, s := range d.settings {
		b.values[s.Key()] = s
	}
	b.addDomains()
	b.setLimits()
	b.setRanks()
	b.addDatabases()
	b.addCallers()
	if len(b.faults) > 0 {
		return rosemarylb.ServiceConfig{}, b.faults
	}
	return b.config.WithIndex(), nil
}

// Parse parses a rendered document, the form in which instances receive the
// configuration. The returned error is of type Faults.
func Parse(text []byte) (rosemarylb.ServiceConfig, error) {
	d, err := NewDocument(File{
		Name: "published",
		Text: text,
	})
	if err != nil {
		return rosemarylb.ServiceConfig{}, err
	}
	return d.ServiceConfig()
}

func (b *configBuilder) value(key, fallback string) string {
	if s, found := b.values[key]; found {
		return s.Value
	}
	return fallback
}

func (b *configBuilder) addFault(s Setting, reason string) {
	b.faults = append(b.faults, Fault{
		Position: s.Position,
		Reason:   s.Key() + ": " + reason,
	})
}

// indexChildren maps the path of each mapping to the first setting below each of
// its keys, in document order.
func (b *configBuilder) indexChildren(d Document) {
	seen := map[string]bool{}
	for _, s := range d.settings {
		parent := ""
		for _, name := range s.Path {
			key := parent + "." + name
			if !seen[key] {
				seen[key] = true
				b.children[parent] = append(b.children[parent], s)
			}
			parent = key
		}
	}
}

// childrenOf returns the first setting below each key of the mapping at a path.
func (b *configBuilder) childrenOf(path ...string) []Setting {
	parent := ""
	for _, name := range path {
		parent += "." + name
	}
	return b.children[parent]
}

func (b *configBuilder) addDomains() {
	for _, s := range b.childrenOf("regions") {
		region := s.Path[1]
		for _, domain := range b.childrenOf("regions", region, "domains") {
			name := domain.Path[3]
			if other, duplicate := b.regionOfDomain[name]; duplicate {
				b.addFault(domain, "the domain is in region "+other+" already")
				continue
			}
			b.regionOfDomain[name] = region
		}
	}
}

func (b *configBuilder) setLimits() {
	b.config.QueueLimit = parseInt(b.value("limits.queue", fmt.Sprint(defaultQueueLimit)))
	b.config.ReplicaWaitMillis = parseMillis(b.value("limits.replica-wait", defaultReplicaWait))
	b.config.RequestMillis = parseMillis(b.value("limits.request", defaultRequestTimeout))
	b.config.DrainMillis = parseMillis(b.value("limits.drain", defaultDrainTimeout))
	if s, found := b.values["limits.replica-wait"]; found && b.config.ReplicaWaitMillis >= b.config.RequestMillis {
		b.addFault(s, "must be shorter than limits.request")
	}
}

func (b *configBuilder) setRanks() {
	b.config.Shares = defaultSharesPercent
	for i := range b.config.TargetMillis {
		b.config.TargetMillis[i] = parseMillis(defaultTargetLatency)
	}
	for _, s := range b.childrenOf("ranks") {
		name := s.Path[1]
		rank, err := rosemarylb.ParseRank(name)
		if err != nil {
			b.addFault(s, "unknown rank "+name)
			continue
		}
		if v, found := b.values["ranks."+name+".share"]; found {
			b.config.Shares[rank] = parseInt(v.Value)
		}
		if v, found := b.values["ranks."+name+".target"]; found {
			b.config.TargetMillis[rank] = parseMillis(v.Value)
		}
	}
	sum := 0
	for _, share := range b.config.Shares {
		sum += share
	}
	if sum > maxSharesPercent {
		s := b.values["ranks.background.share"]
		for _, name := range b.childrenOf("ranks") {
			s = name
		}
		b.addFault(s, fmt.Sprintf("the minimum shares add up to %d percent, more than 100", sum))
	}
}

func (b *configBuilder) addDatabases() {
	addresses := map[string]string{}
	for _, s := range b.childrenOf("databases") {
		database := rosemarylb.Database{
			Name: rosemarylb.DatabaseName(s.Path[1]),
		}
		for _, e := range b.childrenOf("databases", s.Path[1], "endpoints") {
			database.Endpoints = append(database.Endpoints, b.newEndpoint(database.Name, e, addresses))
		}
		if len(database.Endpoints)%2 == 0 {
			b.addFault(s, fmt.Sprintf("%d endpoints: an odd number is required for majorities", len(database.Endpoints)))
		}
		b.config.Databases = append(b.config.Databases, database)
	}
}

func (b *configBuilder) newEndpoint(
	name rosemarylb.DatabaseName, s Setting, addresses map[string]string,
) rosemarylb.EndpointSpec {
	id := s.Path[3]
	prefix := strings.Join(s.Path[:4], ".")
	if other, duplicate := b.databaseOfEndpoint[id]; duplicate {
		b.addFault(s, "the endpoint name is used in database "+other+" already")
	}
	b.databaseOfEndpoint[id] = string(name)
	e := rosemarylb.EndpointSpec{
		ID:          rosemarylb.EndpointID(id),
		Database:    name,
		Address:     b.value(prefix+".address", ""),
		Domain:      rosemarylb.DomainName(b.value(prefix+".domain", "")),
		Slots:       parseInt(b.value(prefix+".slots", fmt.Sprint(defaultSlots))),
		Connections: parseInt(b.value(prefix+".connections", fmt.Sprint(defaultConnections))),
		Leaving:     b.value(prefix+".leaving", "false") == "true",
	}
	region, known := b.regionOfDomain[string(e.Domain)]
	e.Region = rosemarylb.RegionName(region)
	if !known {
		at := s
		if v, found := b.values[prefix+".domain"]; found {
			at = v
		}
		b.addFault(at, fmt.Sprintf("the domain %q is not in any region", e.Domain))
	}
	if e.Address == "" {
		b.addFault(s, prefix+" has no address")
	}
	if other, duplicate := addresses[e.Address]; duplicate && e.Address != "" {
		b.addFault(b.values[prefix+".address"], "the address is already used by endpoint "+other)
	}
	addresses[e.Address] = id
	if e.Slots > e.Connections {
		b.addFault(s, fmt.Sprintf("%s: %d slots require at least as many connections, but there are %d", prefix, e.Slots, e.Connections))
	}
	return e
}

func (b *configBuilder) addCallers() {
	for _, s := range b.childrenOf("callers") {
		prefix := "callers." + s.Path[1]
		rank, _ := rosemarylb.ParseRank(b.value(prefix+".rank", rosemarylb.RankStandard.String()))
		c := rosemarylb.CallerSpec{
			Name:            s.Path[1],
			Rank:            rank,
			StalenessMillis: parseMillis(b.value(prefix+".staleness", "0s")),
			Linearizable:    b.value(prefix+".latest", "false") == "true",
		}
		if c.Linearizable && c.StalenessMillis > 0 {
			b.addFault(b.values[prefix+".staleness"], "staleness cannot be combined with latest")
		}
		b.config.Callers = append(b.config.Callers, c)
	}
}
