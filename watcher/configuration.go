package watcher

import (
	"context"

	"github.com/gravitational/trace"

	"clementineramp/configurer"
)

// Keys of the platform's values.
const (
	manifestKey = "config/manifest"
	partPrefix  = "config/part/"
)

// watchConfiguration follows the manifest at the platform.
func (w *Watcher) watchConfiguration(ctx context.Context) error {
	revision := uint64(0)
	return w.follow(ctx, "manifest", func() error {
		read := w.cfg.Platform.Value
		if revision > 0 {
			v, err := w.cfg.Platform.WatchValue(ctx, manifestKey, revision)
			if err != nil {
				return err
			}
			revision = v.Revision
			return w.takeManifest(ctx, v.Data)
		}
		v, err := read(ctx, manifestKey)
		if err != nil {
			return err
		}
		revision = v.Revision
		return w.takeManifest(ctx, v.Data)
	})
}

// takeManifest offers a manifest from the platform and reads the parts that it lacks.
func (w *Watcher) takeManifest(ctx context.Context, data []byte) error {
	result, err := w.holder.Offer(data)
	w.applied(result, err)
	if err != nil {
		return nil
	}
	for _, digest := range w.holder.Missing() {
		v, err := w.cfg.Platform.Value(ctx, partPrefix+string(digest))
		if err != nil {
			return trace.Wrap(err, "part %s", digest)
		}
		result, err := w.holder.AddPart(digest, v.Data)
		w.applied(result, err)
	}
	return nil
}

// applied logs the result of an offer and tells of a new snapshot.
func (w *Watcher) applied(r configurer.Result, err error) {
	if err != nil {
		w.cfg.Log.Error("configuration_refused", "error", err)
	}
	if r.Conflict != nil {
		w.cfg.Log.Error("configuration_conflict", "conflict", r.Conflict.String())
	}
	if r.Adopted == nil {
		return
	}
	w.cfg.Log.Info("configuration_in_force", "version", r.Adopted.Version, "digest", string(r.Adopted.Digest),
		"organisations", r.Adopted.OrganisationCount())
	if w.cfg.OnSnapshot != nil {
		w.cfg.OnSnapshot(r.Adopted)
	}
}
