package spawner

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// tailLines is the number of lines that Tail returns.
const tailLines = 12

// Output collects what a process writes and may be used concurrently; its zero value is empty.
type Output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the output; it never fails.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns the output so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Tail returns the last lines of the output, at most 12.
func (o *Output) Tail() string {
	lines := strings.Split(strings.TrimSpace(o.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// Process is a command that can be started several times; it must not be used concurrently.
type Process struct {
	Name string
	// Command is the program and its arguments; Env is added to the environment of the current process.
	Command []string
	Env     []string
	// Log holds the output of all runs, and Starts counts them.
	Log    Output
	Starts int

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Running reports whether the process has been started and has not ended yet.
func (p *Process) Running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Start starts the process; it fails if the process is already running or the program cannot be started.
func (p *Process) Start() error {
	if p.Running() {
		return fmt.Errorf("%s is already running", p.Name)
	}
	cmd := exec.Command(p.Command[0], p.Command[1:]...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = &p.Log, &p.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.Starts++
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Done returns a channel that is closed when the current run ends; it is nil before the first start.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Err returns the error with which the last run ended, nil for exit code 0; it is valid once Done is closed.
func (p *Process) Err() error {
	return p.err
}

// Signal sends a signal to the running process; after SIGKILL, it waits until the process has ended.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s is not running", p.Name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	if sig == syscall.SIGKILL {
		<-p.done
	}
	return nil
}

// CheckStopped returns an error unless all threads of the process are stopped. Callers poll it, because SIGSTOP takes
// effect some time after it is sent.
func (p *Process) CheckStopped() error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("found no threads of %s: %w", p.Name, cmp.Or(err, os.ErrNotExist))
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		// The state letter follows the program name, which is in parentheses; T means stopped.
		if _, rest, _ := strings.Cut(string(data), ") "); !strings.HasPrefix(rest, "T") {
			return errors.New("a thread is still running")
		}
	}
	return nil
}

// Kill sends SIGKILL to the process if it is running, and waits until it has ended.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
