package soak

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"rosemarylb/internal/process/duty"
)

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 300 * time.Millisecond

// Process runs one instance as an operating system process and restarts it after
// each exit, until it is closed.
type Process struct {
	// Name is the name of the instance.
	Name string

	program          string
	settings         string
	output           *os.File
	onUnexpectedExit func(name string, state *os.ProcessState)

	mu            sync.Mutex
	process       *os.Process
	exitRequested bool
	starts        int
	closed        bool
	wait          func()
}

// startProcess starts an instance whose output goes to a file. It calls
// onUnexpectedExit when the process exits without having been told to. If the
// process can't be started, it calls it with a nil state and doesn't try again.
func startProcess(name, program, settings, output string, onUnexpectedExit func(string, *os.ProcessState)) (*Process, error) {
	file, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name:             name,
		program:          program,
		settings:         settings,
		output:           file,
		onUnexpectedExit: onUnexpectedExit,
	}
	p.wait = duty.Spawn(p.run)
	return p, nil
}

// run starts the process and restarts it after each exit.
func (p *Process) run() {
	// Pdeathsig kills the process when the thread that started it ends, so that no
	// process outlives the harness; the thread must not end before.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		c := exec.Command(p.program, "host")
		c.SysProcAttr = &syscall.SysProcAttr{
			Pdeathsig: syscall.SIGKILL,
		}
		c.Env = []string{"ROSEMARYLB_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=2"}
		c.Stdout = p.output
		c.Stderr = p.output
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		err := c.Start()
		p.process = c.Process
		p.exitRequested = false
		p.starts++
		p.mu.Unlock()
		if err != nil {
			p.onUnexpectedExit(p.Name, nil)
			return
		}
		_ = c.Wait()
		p.mu.Lock()
		p.process = nil
		requested := p.exitRequested
		p.mu.Unlock()
		if !requested {
			p.onUnexpectedExit(p.Name, c.ProcessState)
		}
		time.Sleep(restartDelay)
	}
}

// Signal sends the process a signal, if it runs. SIGKILL and SIGTERM mark its exit
// as requested.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return
	}
	p.exitRequested = p.exitRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.process.Signal(s)
}

// Starts returns the number of times that the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Close kills the process and waits for it; it isn't restarted.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.wait()
	_ = p.output.Close()
}
