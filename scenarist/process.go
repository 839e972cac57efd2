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
	// waitTimeout bounds each wait for a condition unless the script sets another limit. It only affects how soon a
	// failing scenario ends.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// requestTimeout bounds each request of the scripts to an operator address or for the records of a stand-in.
	requestTimeout = 5 * time.Second
)

// process is one process of a fleet.
type process struct {
	spawner.Process
	// operatorAddress serves /healthz and /status; it is empty for a stand-in.
	operatorAddress string
	// address is where the process serves requests.
	address string
	// pool is the pool or service of an agent or upstream.
	pool string
	role string
	// timeout bounds each wait for a condition of the process.
	timeout time.Duration
}

// The roles of processes.
const (
	rolePlatform = "platform"
	roleUpstream = "upstream"
	roleRouter   = "router"
	roleAgent    = "agent"
)

// awaitReady waits until the process accepts work.
func (p *process) awaitReady() error {
	return p.await("ready", func() error {
		select {
		case <-p.Done():
			return permanentError{fmt.Errorf("%s exited before it was ready: %w", p.Name, cmp.Or(p.Err(), errExitZero))}
		default:
		}
		if p.operatorAddress != "" {
			return checkOK("http://" + p.operatorAddress + "/healthz")
		}
		if strings.Count(p.Log.String(), "ready\n") < p.Starts {
			return errors.New("no \"ready\" line in the log since the last start")
		}
		return nil
	})
}

// await waits for a condition of the process. If the wait fails, the error contains the end of the process's log.
func (p *process) await(what string, condition func() error) error {
	if err := awaitFor(p.timeout, condition); err != nil {
		return fmt.Errorf("%s, waiting for %s: %w\nend of its log:\n%s", p.Name, what, err, p.Log.Tail())
	}
	return nil
}

// signal sends a signal; after SIGSTOP it waits until the process has stopped.
func (p *process) signal(sig syscall.Signal) error {
	if err := p.Signal(sig); err != nil {
		return err
	}
	if sig == syscall.SIGSTOP {
		return p.await("SIGSTOP to take effect", p.CheckStopped)
	}
	return nil
}

// awaitExit waits until the process has exited by itself, and returns an error if its exit code is not 0.
func (p *process) awaitExit() error {
	if p.Done() == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	err := p.await("exit", func() error {
		if p.Running() {
			return errors.New("still running")
		}
		return nil
	})
	if err == nil && p.Err() != nil {
		return fmt.Errorf("%s: %w\nend of its log:\n%s", p.Name, p.Err(), p.Log.Tail())
	}
	return err
}

// errExitZero stands for an exit with code 0 where an error is needed.
var errExitZero = errors.New("exit code 0")

// permanentError is the error of a condition that can no longer be met; it ends the wait at once.
type permanentError struct{ error }

// await calls condition until it returns nil or a permanentError, for at most waitTimeout.
func await(condition func() error) error {
	return awaitFor(waitTimeout, condition)
}

func awaitFor(timeout time.Duration, condition func() error) error {
	for end := time.Now().Add(timeout); ; {
		err := condition()
		var f permanentError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &f):
			return f.error
		case time.Now().After(end):
			return fmt.Errorf("timed out after %v: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// operatorClient sends requests on connections that callers do not share.
var operatorClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// checkOK returns nil if a GET request has the status 200.
func checkOK(url string) error {
	resp, err := operatorClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
