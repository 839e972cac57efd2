package scenarist

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// waitLimit bounds each wait for a condition unless the script sets another limit; it only decides how soon a
	// failing scenario ends.
	waitLimit = 60 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// requestLimit bounds each request of the scripts to an operators' address or to records.
	requestLimit = 5 * time.Second
	// shownLines is the number of log lines that a failure shows of a process.
	shownLines = 12
)

// output keeps what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// tail returns the last lines.
func (o *output) tail() string {
	lines := strings.Split(strings.TrimSpace(o.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-shownLines):], "\n")
}

// process is one process of a fleet, which may run several times.
type process struct {
	name string
	// command is the command line of the process.
	command []string
	env     []string
	// operators is the address for operators; it is empty for a stand-in.
	operators string
	// address serves the requests.
	address string
	// pool is the pool or service of an agent or upstream.
	pool string
	role string
	// limit bounds each wait for a condition of the process.
	limit time.Duration

	log output
	// starts counts the starts.
	starts int
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
}

// The roles of processes.
const (
	rolePlatform = "platform"
	roleUpstream = "upstream"
	roleRouter   = "router"
	roleAgent    = "agent"
)

func (p *process) running() bool {
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

// begin starts the process.
func (p *process) begin() error {
	if p.running() {
		return fmt.Errorf("%s runs already", p.name)
	}
	// The program is a copy of the test binary that testscript.Main put first into the path.
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.starts++
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// awaitReady waits until the process takes work.
func (p *process) awaitReady() error {
	return p.await("ready", func() error {
		select {
		case <-p.done:
			return fatal{fmt.Errorf("%s ended early: %w", p.name, cmp.Or(p.err, errExit))}
		default:
		}
		if p.operators != "" {
			return ok("http://" + p.operators + "/healthz")
		}
		if strings.Count(p.log.String(), "ready\n") < p.starts {
			return errors.New("has not said that it is ready")
		}
		return nil
	})
}

// await waits for a condition of the process and shows the end of its log if it does not come.
func (p *process) await(what string, condition func() error) error {
	if err := awaitFor(p.limit, condition); err != nil {
		return fmt.Errorf("%s, waiting for %s: %w\nend of its log:\n%s", p.name, what, err, p.log.tail())
	}
	return nil
}

// signal sends a signal by the id of the process.
func (p *process) signal(sig syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s does not run", p.name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	switch sig {
	case syscall.SIGKILL:
		<-p.done
	case syscall.SIGSTOP:
		return p.await("its stop", p.stopped)
	}
	return nil
}

// stopped returns nil when all threads of the process are stopped; SIGSTOP takes effect some time after it is sent.
func (p *process) stopped() error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no threads of %s: %w", p.name, cmp.Or(err, os.ErrNotExist))
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

// exited waits until the process has ended by itself.
func (p *process) exited() error {
	if p.cmd == nil {
		return fmt.Errorf("%s was not started", p.name)
	}
	err := p.await("its end", func() error {
		if p.running() {
			return errors.New("still runs")
		}
		return nil
	})
	if err == nil && p.err != nil {
		return fmt.Errorf("%s: %w\nend of its log:\n%s", p.name, p.err, p.log.tail())
	}
	return err
}

// kill ends the process at the end of a script.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// errExit stands for an exit with code 0.
var errExit = errors.New("exit code 0")

// fatal is the error of a condition that cannot come any more.
type fatal struct{ error }

// await calls a condition until it holds.
func await(condition func() error) error {
	return awaitFor(waitLimit, condition)
}

func awaitFor(limit time.Duration, condition func() error) error {
	for end := time.Now().Add(limit); ; {
		err := condition()
		var f fatal
		switch {
		case err == nil:
			return nil
		case errors.As(err, &f):
			return f.error
		case time.Now().After(end):
			return fmt.Errorf("not within %v: %w", limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// operators is the client for requests that must not share connections with callers.
var operators = &http.Client{Timeout: requestLimit, Transport: &http.Transport{DisableKeepAlives: true}}

// ok returns nil if a GET answers 200.
func ok(url string) error {
	resp, err := operators.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
