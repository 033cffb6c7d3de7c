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
	firstSeed = flag.Uint64("seed", 0, "first seed of a long run, 0 for the seeds of CI")
	seedCount = flag.Int("count", 1, "number of seeds of a long run")
)

// regressions are seeds that failed once, each with the cause that was mended.
// The figures of the run are those that they failed with.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{3, "reads were sent through another instance to a former primary"},
	{4, "a failure of an earlier term, and quiet instances, moved primaries that answered"},
	{8, "a primary that refused one write was not used again in its term"},
	{21, "roll backs were passed on in a form that the other instance refused"},
}

// build returns the path of the program, built once for a test.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rosemarylb")
	c := exec.Command("go", "build", "-o", program, "rosemarylb/cmd/rosemarylb")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

func TestPromisesHoldUnderFaults(t *testing.T) {
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
	program := build(t)
	for seed, cause := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, program, seed, cause)
		})
	}
}

func play(t *testing.T, program string, seed uint64, cause string) {
	t.Helper()
	folder := t.TempDir()
	r, err := Run(Options{
		Program:   program,
		Folder:    folder,
		Seed:      seed,
		Length:    15 * time.Second,
		Instances: 5,
		Groups:    2,
		Callers:   16,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Wrong) > 0 {
		t.Errorf("%s\nonce failed for: %s", r, cause)
		showFailures(t, folder)
	}
}

// showFailures shows the ends of what the instances wrote.
func showFailures(t *testing.T, folder string) {
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
