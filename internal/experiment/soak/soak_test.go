package soak

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("seed", 0, "first seed of a long run; 0 runs the regression seeds")
	seedCount = flag.Int("count", 1, "number of seeds of a long run")
	restores  = flag.Bool("restores", false, "restore the store from older copies in a long run")
	replicas  = flag.Bool("sync-replicas", false, "have synchronous replicas in a long run")
	deposed   = flag.Bool("deposed-holders", false, "have holders of the lease deposed in a long run")
	dark      = flag.Bool("dark-primaries", false, "have promoted endpoints go dark in a long run")
)

// regressions are seeds that found a fault, each with the fault that was fixed. The
// options in runSeed are those with which the seeds failed; other options would
// give other plans.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{3, "reads were forwarded by another instance to a former primary"},
	{4, "failures of an earlier term, and instances that sent no reports, caused failovers of primaries that answered"},
	{8, "a primary that had refused one write was not used again in its term"},
	{21, "rollbacks were forwarded in a form that the other instance refused"},
	{41008, "a statement left its transaction when its prepare or set was refused"},
}

// buildProgram compiles the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rosemarylb")
	c := exec.Command("go", "build", "-o", program, "rosemarylb/cmd/rosemarylb")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	seeds := map[uint64]string{}
	for _, r := range regressions {
		seeds[r.seed] = r.cause
	}
	if *firstSeed != 0 {
		clear(seeds)
		for i := range *seedCount {
			seeds[*firstSeed+uint64(i)] = ""
		}
	}
	program := buildProgram(t)
	for seed, cause := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, program, seed, cause, Options{
				Restores:       *restores,
				SyncReplicas:   *replicas,
				DarkPrimaries:  *dark,
				DeposedHolders: *deposed,
			})
		})
	}
}

// TestGuaranteesHoldThroughRestoredStore adds restores of the store from older copies to
// a plan with faults and to one with maintenance only.
func TestGuaranteesHoldThroughRestoredStore(t *testing.T) {
	runSeeds(t, []uint64{5, 12}, Options{
		Restores: true,
	})
}

// TestSynchronousReplicasLoseNoCommit guards against LOST with sync_replicas: primaries
// crash while the replica that has their latest commits is draining.
func TestSynchronousReplicasLoseNoCommit(t *testing.T) {
	runSeeds(t, []uint64{42001, 42002}, Options{
		SyncReplicas: true,
	})
}

// TestDarkPrimariesAreNotOverlooked guards against ONE: an endpoint goes dark, or loses its
// path to the keeper, as it is promoted, and another one leads an earlier term.
func TestDarkPrimariesAreNotOverlooked(t *testing.T) {
	runSeeds(t, []uint64{43001, 43002}, Options{
		DarkPrimaries: true,
	})
}

// TestDeposedHoldersDoNotAct guards against ONE: a holder of the lease that the store turns
// away, and that others have deposed, acts again by questions of its witnesses.
func TestDeposedHoldersDoNotAct(t *testing.T) {
	runSeeds(t, []uint64{46001, 46002}, Options{
		DeposedHolders: true,
	})
}

// runSeeds runs the seeds of a short run with the given options.
func runSeeds(t *testing.T, seeds []uint64, o Options) {
	t.Helper()
	if *firstSeed != 0 {
		t.Skip("a long run of other seeds")
	}
	program := buildProgram(t)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, program, seed, "", o)
		})
	}
}

// runSeed runs a seed with the given options, and with the settings that are the same for
// all runs.
func runSeed(t *testing.T, program string, seed uint64, cause string, o Options) {
	t.Helper()
	o.Program = program
	o.Folder = t.TempDir()
	o.Seed = seed
	o.Length = 15 * time.Second
	o.Instances = 5
	o.Groups = 2
	o.Callers = 16
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 {
		t.Errorf("%s\nfault found by this seed before: %s", r, cause)
		logOutputs(t, o.Folder)
	}
}

// logOutputs logs the last lines of each instance's output.
func logOutputs(t *testing.T, folder string) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		t.Logf("%s:\n%s", filepath.Base(f), strings.Join(lines[max(len(lines)-20, 0):], "\n"))
	}
}
