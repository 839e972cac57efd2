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
	// streamAcceptTime is the time from the start of the shutdown during which new streams are accepted; later ones
	// might not end within the grace period.
	streamAcceptTime = 2900 * time.Millisecond
	// refuseAllMargin is the time before the end of the shutdown from which all requests are refused, not only streams.
	refuseAllMargin = 1500 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which the shutdown ends in any case.
	exitMargin = 300 * time.Millisecond
	// idleCloseTime is the time allowed for idle connections to close; a request that has just arrived on one is served.
	idleCloseTime = 500 * time.Millisecond
	// drainPollInterval is the interval between checks for requests in progress.
	drainPollInterval = 25 * time.Millisecond
	// filePollInterval is the interval between checks of the settings file, which may change without a signal.
	filePollInterval = 2 * time.Second
)

// stop shuts the gateway down gracefully: it reports not ready, continues to serve until the load balancer has removed
// the process, and then waits until the last request has ended or the grace period is over.
func (g *Gateway) stop(ctx context.Context, callerServer *http.Server) {
	started := time.Now()
	grace := g.settings.Load().Grace
	g.stopping.Store(true)
	g.log.Info("stopping", "running", g.proxier.Running(), "grace_ms", grace.Milliseconds())
	end := started.Add(grace - exitMargin)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	deregisterAfter := min(deregisterTime, grace/2)
	for now := started; now.Before(end); now = <-t.C {
		since := now.Sub(started)
		if since >= min(streamAcceptTime, grace/2) {
			g.refusing.Store(int32(proxier.RefuseStreams))
		}
		if now.After(end.Add(-refuseAllMargin)) {
			g.refusing.Store(int32(proxier.RefuseAll))
		}
		if since >= deregisterAfter {
			g.callers.CloseIdle(now, 0)
			closed := g.callers.Open() == 0 || since >= deregisterAfter+idleCloseTime
			if closed && g.proxier.Running() == 0 && g.callers.Busy() == 0 {
				break
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
	_ = callerServer.Close()
	g.log.Info("drained", "running", g.proxier.Running(), "after_ms", time.Since(started).Milliseconds())
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
