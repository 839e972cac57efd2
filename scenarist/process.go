package scenarist

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"clementineramp/spawner"
)

const (
	// waitLimit bounds each wait for a condition unless the script sets another limit; it only decides how soon a
	// failing scenario ends.
	waitLimit = 60 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// requestLimit bounds each request of the scripts to an operators' address or to records.
	requestLimit = 5 * time.Second
)

// process is one process of a fleet.
type process struct {
	spawner.Process
	// operators is the address for operators; it is empty for a stand-in.
	operators string
	// address serves the requests.
	address string
	// pool is the pool or service of an agent or upstream.
	pool string
	role string
	// limit bounds each wait for a condition of the process.
	limit time.Duration
}

// The roles of processes.
const (
	rolePlatform = "platform"
	roleUpstream = "upstream"
	roleRouter   = "router"
	roleAgent    = "agent"
)

// awaitReady waits until the process takes work.
func (p *process) awaitReady() error {
	return p.await("ready", func() error {
		select {
		case <-p.Done():
			return fatal{fmt.Errorf("%s ended early: %w", p.Name, cmp.Or(p.Err(), errExit))}
		default:
		}
		if p.operators != "" {
			return ok("http://" + p.operators + "/healthz")
		}
		if strings.Count(p.Log.String(), "ready\n") < p.Starts {
			return errors.New("has not said that it is ready")
		}
		return nil
	})
}

// await waits for a condition of the process and shows the end of its log if it does not come.
func (p *process) await(what string, condition func() error) error {
	if err := awaitFor(p.limit, condition); err != nil {
		return fmt.Errorf("%s, waiting for %s: %w\nend of its log:\n%s", p.Name, what, err, p.Log.Tail())
	}
	return nil
}

// signal sends a signal, and waits until the process has stopped if it is told to.
func (p *process) signal(sig syscall.Signal) error {
	if err := p.Signal(sig); err != nil {
		return err
	}
	if sig == syscall.SIGSTOP {
		return p.await("its stop", p.CheckStopped)
	}
	return nil
}

// exited waits until the process has ended by itself.
func (p *process) exited() error {
	if p.Done() == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	err := p.await("its end", func() error {
		if p.Running() {
			return errors.New("still runs")
		}
		return nil
	})
	if err == nil && p.Err() != nil {
		return fmt.Errorf("%s: %w\nend of its log:\n%s", p.Name, p.Err(), p.Log.Tail())
	}
	return err
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
