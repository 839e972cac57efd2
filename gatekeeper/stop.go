package gatekeeper

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"clementineramp/loader"
	"clementineramp/proxier"
)

const (
	// deregisterTime is the time from the start of the shutdown until the load balancer has removed the process: it
	// checks readiness each second and requires two failures.
	deregisterTime = 2500 * time.Millisecond
	// idleCloseTime is the time allowed for idle connections to close; a request that has just arrived on one is served.
	idleCloseTime = 500 * time.Millisecond
	// drainPollInterval is the interval between checks for requests in progress.
	drainPollInterval = 25 * time.Millisecond
	// filePollInterval is the interval between checks of the settings file, which may change without a signal.
	filePollInterval = 2 * time.Second
)

// stop shuts the gateway down gracefully: it reports not ready, continues to serve what can end in time until the load
// balancer has removed the process, and then waits until the last request has ended. Shortly before the end of the grace
// period, the requests that still run get a final answer.
func (g *Gateway) stop(ctx context.Context, callerServer *http.Server) {
	schedule := proxier.Shutdown{Started: time.Now(), Grace: g.settings.Load().Grace}
	g.stopping.Store(true)
	g.proxier.BeginShutdown(schedule)
	g.log.Info("stopping", "running", g.proxier.Running(), "grace_ms", schedule.Grace.Milliseconds())
	g.awaitRequests(ctx, schedule)
	g.proxier.EndRequests()
	_ = callerServer.Close()
	g.log.Info("drained", "running", g.proxier.Running(), "after_ms", time.Since(schedule.Started).Milliseconds())
}

// awaitRequests returns when the load balancer has removed the process and no request is left, and at the latest when the
// connections are to be closed.
func (g *Gateway) awaitRequests(ctx context.Context, schedule proxier.Shutdown) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	deregisterAfter := min(deregisterTime, schedule.Grace/2)
	refused := false
	for now := schedule.Started; now.Before(schedule.ExitAt()); now = <-t.C {
		if ctx.Err() != nil {
			return
		}
		if !now.Before(schedule.AnswerAt()) {
			g.proxier.EndRequests()
		}
		since := now.Sub(schedule.Started)
		if since < deregisterAfter {
			continue
		}
		g.callers.CloseIdle(now, 0)
		closed := g.callers.Open() == 0 || since >= deregisterAfter+idleCloseTime
		if !closed || g.proxier.Running() > 0 || g.callers.Busy() > 0 {
			continue
		}
		if refused {
			return
		}
		// A request that arrives while the connections are closed must not have been sent to an upstream.
		g.proxier.RefuseAll()
		refused = true
	}
}

// watchFile reloads the settings on a signal and when the file has changed, until ctx ends. Invalid settings are logged
// and ignored.
func (g *Gateway) watchFile(ctx context.Context, file string, reload <-chan os.Signal) {
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	lastModTime := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-t.C:
			if m := modTime(file); m.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		settings, adjustments, err := loader.LoadGateway(file)
		if err != nil {
			g.log.Error("reload_refused", "file", file, "error", err.Error())
			continue
		}
		logAdjustments(g.log, adjustments)
		g.Reload(settings)
	}
}

// modTime returns the modification time of a file; zero if it cannot be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{} // The settings are reloaded once the file exists again.
	}
	return info.ModTime()
}

// limitMemory sets the memory limit of the garbage collector to heapShare of the memory in the settings.
func limitMemory(s *loader.Gateway) {
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
}
