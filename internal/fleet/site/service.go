package site

import (
	"fmt"
	"strings"

	"rosemarylb"
)

// Defaults of the settings that may be left out.
const (
	defaultSlots       = 2
	defaultConnections = 15
	defaultQueue       = 512
	defaultReplicaWait = "20ms"
	defaultRequest     = "10s"
	defaultDrain       = "10s"
	defaultTarget      = "2s"
	sharesLimit        = 100
)

// defaultShares are the least shares of the ranks, in percent.
var defaultShares = [rosemarylb.RankCount]int{0, 20, 10}

// builder turns settings into a service, and collects what is wrong.
type builder struct {
	values    map[string]Setting
	regions   map[string]string
	endpoints map[string]string
	children  map[string][]Setting
	service   rosemarylb.Service
	faults    Faults
}

// Service returns the configuration that the document describes, or Faults
// with everything that is wrong in it.
func (d Document) Service() (rosemarylb.Service, error) {
	b := &builder{
		values:    map[string]Setting{},
		regions:   map[string]string{},
		endpoints: map[string]string{},
		children:  map[string][]Setting{},
	}
	b.collect(d)
	for _, s := range d.settings {
		b.values[s.Key()] = s
	}
	b.domains()
	b.limits()
	b.ranks()
	b.databases()
	b.callers()
	if len(b.faults) > 0 {
		return rosemarylb.Service{}, b.faults
	}
	return b.service.WithIndex(), nil
}

// Parse reads one rendered document, as instances receive it.
func Parse(text []byte) (rosemarylb.Service, error) {
	d, err := NewDocument(File{
		Name: "published",
		Text: text,
	})
	if err != nil {
		return rosemarylb.Service{}, err
	}
	return d.Service()
}

func (b *builder) get(key, fallback string) string {
	if s, found := b.values[key]; found {
		return s.Value
	}
	return fallback
}

func (b *builder) fault(s Setting, reason string) {
	b.faults = append(b.faults, Fault{
		Place:  s.Place,
		Reason: s.Key() + ": " + reason,
	})
}

// collect notes, for each way into the document, the keys below it in their
// order, with the first setting of each.
func (b *builder) collect(d Document) {
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

// names returns the first setting of each key below a way.
func (b *builder) names(way ...string) []Setting {
	parent := ""
	for _, name := range way {
		parent += "." + name
	}
	return b.children[parent]
}

func (b *builder) domains() {
	for _, s := range b.names("regions") {
		region := s.Path[1]
		for _, domain := range b.names("regions", region, "domains") {
			name := domain.Path[3]
			if other, twice := b.regions[name]; twice {
				b.fault(domain, "the domain is in region "+other+" already")
				continue
			}
			b.regions[name] = region
		}
	}
}

func (b *builder) limits() {
	b.service.QueueLimit = count(b.get("limits.queue", fmt.Sprint(defaultQueue)))
	b.service.ReplicaWaitMillis = millis(b.get("limits.replica-wait", defaultReplicaWait))
	b.service.RequestMillis = millis(b.get("limits.request", defaultRequest))
	b.service.DrainMillis = millis(b.get("limits.drain", defaultDrain))
	if s, found := b.values["limits.replica-wait"]; found && b.service.ReplicaWaitMillis >= b.service.RequestMillis {
		b.fault(s, "must be shorter than limits.request")
	}
}

func (b *builder) ranks() {
	b.service.Shares = defaultShares
	for i := range b.service.TargetMillis {
		b.service.TargetMillis[i] = millis(defaultTarget)
	}
	for _, s := range b.names("ranks") {
		name := s.Path[1]
		rank, err := rosemarylb.ParseRank(name)
		if err != nil {
			b.fault(s, "there is no rank "+name)
			continue
		}
		if v, found := b.values["ranks."+name+".share"]; found {
			b.service.Shares[rank] = count(v.Value)
		}
		if v, found := b.values["ranks."+name+".target"]; found {
			b.service.TargetMillis[rank] = millis(v.Value)
		}
	}
	sum := 0
	for _, share := range b.service.Shares {
		sum += share
	}
	if sum > sharesLimit {
		s := b.values["ranks.background.share"]
		for _, name := range b.names("ranks") {
			s = name
		}
		b.fault(s, fmt.Sprintf("the least shares add up to %d percent", sum))
	}
}

func (b *builder) databases() {
	addresses := map[string]string{}
	for _, s := range b.names("databases") {
		database := rosemarylb.Database{
			Name: rosemarylb.DatabaseName(s.Path[1]),
		}
		for _, e := range b.names("databases", s.Path[1], "endpoints") {
			database.Endpoints = append(database.Endpoints, b.endpoint(database.Name, e, addresses))
		}
		if len(database.Endpoints)%2 == 0 {
			b.fault(s, fmt.Sprintf("%d endpoints: an odd number is wanted, for majorities", len(database.Endpoints)))
		}
		b.service.Databases = append(b.service.Databases, database)
	}
}

func (b *builder) endpoint(
	name rosemarylb.DatabaseName, s Setting, addresses map[string]string,
) rosemarylb.EndpointSpec {
	id := s.Path[3]
	prefix := strings.Join(s.Path[:4], ".")
	if other, twice := b.endpoints[id]; twice {
		b.fault(s, "the endpoint name is used in database "+other+" already")
	}
	b.endpoints[id] = string(name)
	e := rosemarylb.EndpointSpec{
		ID:          rosemarylb.EndpointID(id),
		Database:    name,
		Address:     b.get(prefix+".address", ""),
		Domain:      rosemarylb.DomainName(b.get(prefix+".domain", "")),
		Slots:       count(b.get(prefix+".slots", fmt.Sprint(defaultSlots))),
		Connections: count(b.get(prefix+".connections", fmt.Sprint(defaultConnections))),
		Leaving:     b.get(prefix+".leaving", "false") == "true",
	}
	region, known := b.regions[string(e.Domain)]
	e.Region = rosemarylb.RegionName(region)
	if !known {
		at := s
		if v, found := b.values[prefix+".domain"]; found {
			at = v
		}
		b.fault(at, fmt.Sprintf("the domain %q is in no region", e.Domain))
	}
	if e.Address == "" {
		b.fault(s, prefix+" has no address")
	}
	if other, twice := addresses[e.Address]; twice && e.Address != "" {
		b.fault(b.values[prefix+".address"], "the address is that of "+other)
	}
	addresses[e.Address] = id
	if e.Slots > e.Connections {
		b.fault(s, fmt.Sprintf("%s: %d slots need as many connections, there are %d", prefix, e.Slots, e.Connections))
	}
	return e
}

func (b *builder) callers() {
	for _, s := range b.names("callers") {
		prefix := "callers." + s.Path[1]
		rank, _ := rosemarylb.ParseRank(b.get(prefix+".rank", rosemarylb.RankStandard.String()))
		c := rosemarylb.CallerSpec{
			Name:            s.Path[1],
			Rank:            rank,
			StalenessMillis: millis(b.get(prefix+".staleness", "0s")),
			Latest:          b.get(prefix+".latest", "false") == "true",
		}
		if c.Latest && c.StalenessMillis > 0 {
			b.fault(b.values[prefix+".staleness"], "a caller of latest reads accepts no staleness")
		}
		b.service.Callers = append(b.service.Callers, c)
	}
}
