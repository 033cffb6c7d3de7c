//go:build review

// Package harness3 runs the cases 11 to 15 of the third review: instances of the
// program as separate processes, on stand-ins of the users' platform, with clients that
// check what they are answered. Each case is a function; run.sh of its folder starts it.
package harness3

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	caseDuration = 110 * time.Second
)

// cases are the cases by the number of their folder.
var cases = map[string]func(r *run) error{}

// TestMain runs the case that the environment names in place of the tests.
func TestMain(*testing.M) {
	play, found := cases[os.Getenv("CASE")]
	if !found {
		fmt.Println("CASE names no case")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play))
}

// run is one run of a case.
type run struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	program string
	folder  string

	startedAt time.Time
	cleanups  []func()

	mu     sync.Mutex // guards the fields below
	record *os.File
	broken bool
}

func playCase(play func(r *run) error) int {
	r, err := newRun()
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	defer r.cleanUp()
	timeout := time.AfterFunc(caseDuration, func() {
		r.notef("the case takes too long")
		r.cleanUp()
		os.Exit(exitNotRun)
	})
	defer timeout.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.cleanUp()
		os.Exit(exitNotRun)
	}()
	if err := play(r); err != nil {
		r.notef("cannot run: %v", err)
		return exitNotRun
	}
	if r.broken {
		r.notef("result: the rule was broken")
		return exitBroken
	}
	r.notef("result: the rule held")
	return exitHeld
}

func newRun() (*run, error) {
	program, err := filepath.Abs(os.Getenv("PROGRAM"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	r := &run{
		trouble:   os.Getenv("TROUBLE") != "0",
		program:   program,
		folder:    folder,
		startedAt: time.Now(),
		record:    record,
	}
	if os.Getenv("KEEP") == "" {
		r.onCleanUp(func() { _ = os.RemoveAll(folder) })
	}
	return r, nil
}

// onCleanUp registers a function that runs at the end, the last one first.
func (r *run) onCleanUp(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

func (r *run) cleanUp() {
	r.mu.Lock()
	cleanups := r.cleanups
	r.cleanups = nil
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
}

// notef writes a line to the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// detailf writes a line to the record alone.
func (r *run) detailf(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", at.Sub(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// violationf records that the rule was broken.
func (r *run) violationf(format string, args ...any) {
	r.notef("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
}
