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

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// Process is one instance as a process of its own. It is started again when it
// ends, until it is closed.
type Process struct {
	// Name names the instance.
	Name string

	program  string
	settings string
	output   *os.File
	ended    func(name string, state *os.ProcessState)

	mu       sync.Mutex
	process  *os.Process
	signaled bool
	starts   int
	closed   bool
	wait     func()
}

// startProcess starts an instance. Its output goes to a file; an end that
// nobody asked for is told.
func startProcess(name, program, settings, output string, ended func(string, *os.ProcessState)) (*Process, error) {
	file, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name:     name,
		program:  program,
		settings: settings,
		output:   file,
		ended:    ended,
	}
	p.wait = duty.Spawn(p.run)
	return p, nil
}

// run keeps the process running.
func (p *Process) run() {
	// A process dies with the thread that started it, should this one be killed.
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
		p.signaled = false
		p.starts++
		p.mu.Unlock()
		if err != nil {
			p.ended(p.Name, nil)
			return
		}
		_ = c.Wait()
		p.mu.Lock()
		p.process = nil
		asked := p.signaled
		p.mu.Unlock()
		if !asked {
			p.ended(p.Name, c.ProcessState)
		}
		time.Sleep(restartDelay)
	}
}

// Signal sends the process a signal, if it runs. Those that end it are noted:
// its end was asked for then.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return
	}
	p.signaled = p.signaled || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.process.Signal(s)
}

// Starts returns how often the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Close ends the process for good.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.wait()
	_ = p.output.Close()
}
