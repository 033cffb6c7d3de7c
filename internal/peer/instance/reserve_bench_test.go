package instance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/quota"

	"google.golang.org/protobuf/proto"
)

// quotaLoad is a fleet whose instances each receive 8.8 operations a second, as those
// of Deployment R do on a busy day, of teams with a Zipf distribution of exponent 1.2.
type quotaLoad struct {
	random     *rand.Rand
	now        time.Time
	ledger     quota.Ledger
	allowances []quota.Allowance
	replies    map[int]quota.Reply
	pending    map[int]quota.Request
	shares     []float64
	names      []rosemarylb.TeamName

	requests   int
	bytes      int
	ledgerTime time.Duration
	admitted   int
	refused    int
}

const operationsPerInstance = 8.8

func newQuotaLoad(instances, teams int) *quotaLoad {
	l := &quotaLoad{
		random:  rand.New(rand.NewPCG(1, 2)),
		now:     time.Unix(1000, 0),
		replies: map[int]quota.Reply{},
		pending: map[int]quota.Request{},
	}
	sum := 0.0
	for n := range teams {
		sum += math.Pow(float64(n+1), -1.2)
		l.shares = append(l.shares, sum)
		l.names = append(l.names, rosemarylb.TeamName(fmt.Sprintf("team-%05d", n)))
	}
	var specs []rosemarylb.Team
	for n := range teams {
		l.shares[n] /= sum
		share := math.Pow(float64(n+1), -1.2) / sum
		specs = append(specs, rosemarylb.Team{
			Name:          l.names[n],
			RatePerSecond: max(1.5*share*operationsPerInstance*float64(instances), 1),
			Burst:         10,
		})
	}
	catalog := rosemarylb.Catalog{
		Version: 1,
	}.WithTeams(specs)
	l.ledger = quota.NewLedger(quota.Tenure{
		GrantsFrom: l.now,
		First:      true,
	}, catalog)
	for n := range instances {
		id := rosemarylb.InstanceID(fmt.Sprintf("instance-%d", n))
		l.allowances = append(l.allowances, quota.NewAllowance(id, 1).WithCatalog(catalog))
	}
	return l
}

// step runs 5 ms. Replies arrive one step after their requests.
func (l *quotaLoad) step() {
	const interval = 5 * time.Millisecond
	l.now = l.now.Add(interval)
	started := time.Now()
	l.ledger = l.ledger.Advanced(l.now)
	l.ledgerTime += time.Since(started)
	for n, a := range l.allowances {
		if reply, found := l.replies[n]; found {
			delete(l.replies, n)
			r := l.pending[n]
			a = l.withWaiting(a.WithReply(r.Sequence, reply, l.now), r)
		}
		if l.random.Float64() < operationsPerInstance*interval.Seconds() {
			var verdict quota.Verdict
			team := l.names[sort.SearchFloat64s(l.shares, l.random.Float64())]
			a, verdict = a.WithOperation(team, l.now)
			l.count(verdict)
		}
		var due bool
		var r quota.Request
		if a, r, due = a.WithRequest(l.now); due {
			l.reserve(n, r)
		}
		l.allowances[n] = a
	}
}

// withWaiting decides on the operations that waited for the reply to a request.
func (l *quotaLoad) withWaiting(a quota.Allowance, r quota.Request) quota.Allowance {
	for _, d := range r.Demands {
		team := d.Team
		for refused := true; refused; {
			if a, refused = a.WithRefusal(team); refused {
				l.refused++
			}
		}
		for waiting := a.Waiting(); waiting > 0; {
			a, _ = a.WithWaiting(team, l.now)
			if a.Waiting() == waiting {
				break
			}
			waiting = a.Waiting()
			l.admitted++
		}
	}
	return a
}

func (l *quotaLoad) count(v quota.Verdict) {
	switch v {
	case quota.Admit:
		l.admitted++
	case quota.Refuse:
		l.refused++
	default:
	}
}

func (l *quotaLoad) reserve(n int, r quota.Request) {
	l.requests++
	l.pending[n] = r
	started := time.Now()
	var reply quota.Reply
	l.ledger, reply = l.ledger.WithRequest(r, l.now)
	l.ledgerTime += time.Since(started)
	l.replies[n] = reply
	l.bytes += proto.Size(encodeReserveRequest(r)) + proto.Size(encodeReserveReply(reply))
}

// BenchmarkReserve reports what quotas cost the keeper and the network, without the
// transport of gRPC.
func BenchmarkReserve(b *testing.B) {
	for _, teams := range []int{82, 10_000} {
		for _, instances := range []int{30, 300, 3000} {
			b.Run(fmt.Sprintf("instances=%d/teams=%d", instances, teams), func(b *testing.B) {
				for range b.N {
					const seconds = 5
					l := newQuotaLoad(instances, teams)
					for range seconds * 200 {
						l.step()
					}
					b.ReportMetric(float64(l.requests)/seconds, "requests/s")
					b.ReportMetric(float64(l.ledgerTime.Microseconds())/float64(l.requests), "us/request")
					b.ReportMetric(l.ledgerTime.Seconds()/seconds*100, "keeper-%core")
					b.ReportMetric(float64(l.bytes)/seconds/float64(instances), "B/s/instance")
					b.ReportMetric(float64(l.refused), "refused")
				}
			})
		}
	}
}
