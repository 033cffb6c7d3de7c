package service_test

import (
	"context"
	"testing"

	"rosemarylb"
	"rosemarylb/internal/standin/fleet"

	"github.com/jackc/pgx/v5"
)

// BenchmarkPointReads runs point reads of concurrent callers through an instance
// in the domain of a replica. It is meant for profiling.
func BenchmarkPointReads(b *testing.B) {
	f := newFleet(b)
	ctx := context.Background()
	instance := replicaOwner(f)
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		c, err := f.Connect(ctx, instance, "fitter", "book")
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close(ctx)
		for pb.Next() {
			if err := readOne(ctx, c); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func readOne(ctx context.Context, c *pgx.Conn) error {
	var n int
	return c.QueryRow(ctx, "SELECT count(*) FROM pairs WHERE owner = $1", 1).Scan(&n)
}

// replicaOwner returns the index of an instance in the domain of a replica.
func replicaOwner(f *fleet.Fleet) int {
	primary := f.Primary("book")
	for n, id := range []rosemarylb.EndpointID{"book-0", "book-1", "book-2"} {
		if id != primary {
			return n
		}
	}
	return 0
}
