package main

import (
	"context"
	"os"
	"syscall"
	"time"

	"sardinecross.example/platform"
)

// settingsCheckInterval is the time between checks whether the settings file was modified, as it may change without a SIGHUP.
const settingsCheckInterval = time.Second

// minAnswerTime is how long the responses to requests that end with the grace may take at least until their connections are cut. A
// process that gets no processor time for a while ends the requests late, and must not cut them in the same moment.
const minAnswerTime = 50 * time.Millisecond

// serve reloads the settings on SIGHUP or when their file was modified. Any other signal shuts the host down. While it shuts
// down, signals change nothing: the platform kills a host that has to end sooner.
func (g *gate) serve(signals <-chan os.Signal) {
	sig := g.awaitStop(signals)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.shutdown(sig)
	}()
	for {
		select {
		case sig := <-signals:
			g.log.Info("signal ignored while stopping", "signal", sig.String())
		case <-ended:
			return
		}
	}
}

// awaitStop reloads the settings when they may have changed, until a signal asks the host to stop. It returns that signal.
func (g *gate) awaitStop(signals <-chan os.Signal) os.Signal {
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return sig
			}
			g.reload("signal")
		case <-t.C:
			if info, err := os.Stat(g.settingsPath); err == nil && info.ModTime() != g.settingsModTime {
				g.reload("file changed")
			}
		}
	}
}

// reload reads the settings again. The grace period, the address lifetime and the retry budget take effect at once; all
// other settings need a restart. The log line reports this for the listen addresses, the internal port, the address of
// the store, and the names of the host and its data centre.
func (g *gate) reload(cause string) {
	if info, err := os.Stat(g.settingsPath); err == nil {
		g.settingsModTime = info.ModTime()
	}
	s, err := platform.LoadSettings(g.settingsPath)
	if err != nil {
		g.log.Error("settings not reloaded", "cause", cause, "error", err)
		return
	}
	restart := s.CallerAddress != g.settings.CallerAddress || s.ReadyAddress != g.settings.ReadyAddress || s.DirectoryAddress != g.settings.DirectoryAddress ||
		s.InternalPort != g.settings.InternalPort || s.StoreAddress != g.settings.StoreAddress || s.Host != g.settings.Host || s.DataCentre != g.settings.DataCentre
	g.mu.Lock()
	g.settings.Grace, g.settings.MaxAddressLifetime = s.Grace, s.MaxAddressLifetime
	g.mu.Unlock()
	g.broker.SetRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	g.log.Info("settings reloaded", "cause", cause, "needsRestart", restart)
}

// reloadableLimits returns the grace period and the longest lifetime of addresses, which a reload may change.
func (g *gate) reloadableLimits() (grace, addresses time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.Grace, g.settings.MaxAddressLifetime
}

// shutdown removes the host from the directory, serves requests that still arrive and can be finished in time, lets requests in
// flight end, and stops everything within the grace period; see grace.Period.
func (g *gate) shutdown(sig os.Signal) {
	length, _ := g.reloadableLimits()
	begun := time.Now()
	period := g.stop.Begin(begun, length)
	g.processLog.Info("stop", g.stopState(begun, "signal", sig.String(), "graceMs", length.Milliseconds())...)
	g.callerServer.DisableKeepAlives()
	g.node.SendHeartbeat()
	g.quota.Update() // hands over what this host owns
	time.Sleep(time.Until(period.AcceptUntil()))
	g.processLog.Info("connections no longer accepted", g.stopState(begun)...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(g.stop.Context(), func() {
		time.AfterFunc(max(time.Until(period.CutAt()), minAnswerTime), cancel)
	})
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.processLog.Warn("requests cut at the end of the grace", g.stopState(begun, "error", err)...)
	}
	g.callerServer.Close()
	for _, s := range g.httpServers {
		_ = s.Close() // cuts requests of the platform and of other hosts, which need no answer any more
	}
	g.wg.Wait()
	g.stop.Close()
	g.watcher.Close()
	g.broker.Close()
	g.quota.Close()
	g.node.Close()
	g.pool.Close()
	g.store.Close()
	g.processLog.Info("stopped", g.stopState(begun, "logLinesLeftOut", g.logWriter.Dropped.Load())...)
	g.logWriter.Close()
}

// stopState returns attributes for a log line on the stop that began at the given time: those given, how long ago it began,
// and the connections and requests that are open.
func (g *gate) stopState(begun time.Time, attrs ...any) []any {
	conns, requests := g.callerServer.Open()
	return append(attrs, "sinceStopMs", time.Since(begun).Milliseconds(), "connections", conns, "requests", requests)
}
