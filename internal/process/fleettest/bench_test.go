package fleettest

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// clockTicksPerSecond is the unit of the CPU times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("/proc is not available")
	}
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, pid int) int {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Skip("/proc is not available")
	}
	pages, _ := strconv.Atoi(strings.Fields(string(content))[1])
	return pages * os.Getpagesize()
}

// newBenchFleet starts a fleet with an additional instance in a domain without
// endpoints, from which every request is forwarded to a second instance.
func newBenchFleet(b *testing.B) *fleet {
	f := newFleet(b)
	f.startInstance(domainCount)
	f.publishInstances()
	f.exec("INSERT INTO jobs (id, note) VALUES (1, 'hall mirror')")
	return f
}

// measureLatencies returns the sorted latencies of count point reads. The first
// 200 reads are not measured.
func measureLatencies(b *testing.B, c *pgx.Conn, count int) []time.Duration {
	b.Helper()
	ctx := context.Background()
	durations := make([]time.Duration, 0, count)
	for n := range count + 200 {
		start := time.Now()
		var note string
		if err := c.QueryRow(ctx, "SELECT note FROM jobs WHERE id = $1", 1).Scan(&note); err != nil {
			b.Fatal(err)
		}
		if n >= 200 {
			durations = append(durations, time.Since(start))
		}
	}
	slices.Sort(durations)
	return durations
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}

func BenchmarkPointReadLatency(b *testing.B) {
	f := newBenchFleet(b)
	const count = 5000
	direct, err := pgx.Connect(context.Background(),
		fmt.Sprintf("postgres://bench@%s/book?sslmode=disable", f.endpoints[0].address))
	if err != nil {
		b.Fatal(err)
	}
	defer direct.Close(context.Background())
	for b.Loop() {
		base := measureLatencies(b, direct, count)
		one := measureLatencies(b, f.connect(f.replicaIndex()), count)
		two := measureLatencies(b, f.connect(domainCount), count)
		b.ReportMetric(microseconds(base[count/2]), "direct-p50-us")
		b.ReportMetric(microseconds(base[count*99/100]), "direct-p99-us")
		b.ReportMetric(microseconds(one[count/2]-base[count/2]), "one-added-p50-us")
		b.ReportMetric(microseconds(one[count*99/100]-base[count*99/100]), "one-added-p99-us")
		b.ReportMetric(microseconds(two[count/2]-base[count/2]), "two-added-p50-us")
		b.ReportMetric(microseconds(two[count*99/100]-base[count*99/100]), "two-added-p99-us")
	}
}

func BenchmarkStatementsPerCore(b *testing.B) {
	f := newBenchFleet(b)
	const clients = 32
	index := f.replicaIndex()
	pid := f.instances[index].command.Process.Pid
	for b.Loop() {
		before := cpuTime(b, pid)
		start := time.Now()
		total := 0
		var mu sync.Mutex
		var done sync.WaitGroup
		for range clients {
			c := f.connect(index)
			done.Add(1)
			go func() {
				defer done.Done()
				n := 0
				for time.Since(start) < 5*time.Second {
					var note string
					if c.QueryRow(context.Background(), "SELECT note FROM jobs WHERE id = $1", 1).Scan(&note) == nil {
						n++
					}
				}
				mu.Lock()
				total += n
				mu.Unlock()
			}()
		}
		done.Wait()
		used := cpuTime(b, pid) - before
		b.ReportMetric(float64(total)/time.Since(start).Seconds(), "statements/s")
		b.ReportMetric(float64(total)/used.Seconds(), "statements/core-s")
	}
}

func BenchmarkIdleCallers(b *testing.B) {
	f := newBenchFleet(b)
	const callers = 5000
	pid := f.instances[1].command.Process.Pid
	for b.Loop() {
		before := residentBytes(b, pid)
		var open []*pgx.Conn
		for range callers {
			c, err := pgx.Connect(context.Background(), f.connectionString(1))
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, c)
		}
		time.Sleep(time.Second)
		b.ReportMetric(float64(residentBytes(b, pid)-before)/callers, "bytes/caller")
		for _, c := range open {
			c.Close(context.Background())
		}
	}
}

// BenchmarkIdleFleet measures the CPU time and memory of each instance of an idle
// fleet with a database of three endpoints.
func BenchmarkIdleFleet(b *testing.B) {
	f := newBenchFleet(b)
	time.Sleep(2 * time.Second)
	for b.Loop() {
		var before []time.Duration
		for _, i := range f.instances {
			before = append(before, cpuTime(b, i.command.Process.Pid))
		}
		const duration = 10 * time.Second
		time.Sleep(duration)
		for n, i := range f.instances {
			used := cpuTime(b, i.command.Process.Pid) - before[n]
			b.ReportMetric(float64(used)/float64(duration)*100, fmt.Sprintf("i%d-core-%%", n))
			b.ReportMetric(float64(residentBytes(b, i.command.Process.Pid))/(1<<20), fmt.Sprintf("i%d-MiB", n))
		}
	}
}

// replicaIndex returns the index of an instance in the domain of a replica. Its
// reads are not forwarded to another instance.
func (f *fleet) replicaIndex() int {
	return (f.primaryIndex() + 1) % domainCount
}
