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
	// deregisterTime is the time after the request to stop until the balancer has taken the process out: it asks each
	// second and needs two misses.
	deregisterTime = 2500 * time.Millisecond
	// streamAcceptTime is the time after the request to stop up to which streams are taken: what is taken later may not end
	// within the grace.
	streamAcceptTime = 2900 * time.Millisecond
	// refuseAllMargin is the time before the end at which other requests are refused, too.
	refuseAllMargin = 1500 * time.Millisecond
	// exitMargin is the time before the end of the grace at which the process ends in any case.
	exitMargin = 300 * time.Millisecond
	// idleCloseTime is the time that idle connections have to end at their readers, which serve what has just arrived.
	idleCloseTime = 500 * time.Millisecond
	// drainPollInterval is the pause between looks at the requests in progress.
	drainPollInterval = 25 * time.Millisecond
	// filePollInterval is the pause between looks at the settings file, which may change without a signal.
	filePollInterval = 2 * time.Second
)

// stop carries out a planned stop: it reports not ready, goes on serving until the balancer knows, and then until
// the last request has ended or the grace is over.
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

// watchFile reads the settings again on a signal, and when the file has changed.
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
		settings, err := loader.LoadGateway(file)
		if err != nil {
			g.log.Error("reload_refused", "file", file, "error", err.Error())
			continue
		}
		g.Reload(settings)
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{} // The file is read when it is there again.
	}
	return info.ModTime()
}

// limitMemory keeps the heap within the process's memory.
func limitMemory(s *loader.Gateway) {
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
}
