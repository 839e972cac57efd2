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

// Output keeps what a process writes; its zero value is empty.
type Output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds to the output.
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

// Tail returns the last lines.
func (o *Output) Tail() string {
	lines := strings.Split(strings.TrimSpace(o.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// Process is a process that may run several times; one goroutine uses it at a time.
type Process struct {
	Name string
	// Command is the program and its arguments, and Env what it gets beside the environment of this process.
	Command []string
	Env     []string
	// Log keeps the output of all runs, and Starts counts them.
	Log    Output
	Starts int

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Running reports whether the process runs.
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

// Start starts the process.
func (p *Process) Start() error {
	if p.Running() {
		return fmt.Errorf("%s runs already", p.Name)
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

// Done is closed when the process has ended; it is nil before the first start.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Err returns why the process ended, nil for exit code 0; it is valid once Done is closed.
func (p *Process) Err() error {
	return p.err
}

// Signal sends a signal, and waits for the end of a process that is killed.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s does not run", p.Name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	if sig == syscall.SIGKILL {
		<-p.done
	}
	return nil
}

// CheckStopped returns nil when all threads of the process are stopped; SIGSTOP takes effect some time after it is sent.
func (p *Process) CheckStopped() error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no threads of %s: %w", p.Name, cmp.Or(err, os.ErrNotExist))
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		// The state follows the name of the program, which is in parentheses.
		if _, rest, _ := strings.Cut(string(data), ") "); !strings.HasPrefix(rest, "T") {
			return errors.New("a thread still runs")
		}
	}
	return nil
}

// Kill ends the process if it runs.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
