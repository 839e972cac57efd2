package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/gravitational/trace"

	"clementineramp/configurer"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// revisionsPerVersion is the distance between the first revisions of two successive manifest versions, so that a
// stand-in platform restarted with a newer sheet has higher revisions, and one with an older sheet lower ones.
const revisionsPerVersion = 1000

// publisher publishes the content of files on a stand-in platform.
type publisher struct {
	sheet, values, hosts string
	platform             *standin.Platform
	published            map[string][]byte
}

// startFilePlatform starts a stand-in platform that reads its files again on SIGHUP.
func (s *standins) startFilePlatform(ctx context.Context) error {
	p := &publisher{
		sheet: s.cmd.String("sheet"), values: s.cmd.String("values"), hosts: s.cmd.String("hosts"),
		platform: standin.NewPlatform(), published: map[string][]byte{},
	}
	p.platform.SetReadRate(platformReadsPerSecond)
	version, err := p.publish(s)
	if err != nil {
		return err
	}
	// SIGHUP is handled before the server starts, because its default action ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	server, err := standin.Start(s.cmd.String("listen"), p.platform.Handler())
	if err != nil {
		signal.Stop(hangup)
		return trace.Wrap(err)
	}
	s.register("platform", fmt.Sprintf("with version %d", version), server.Address(), server.Kill)
	go func() {
		defer signal.Stop(hangup)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				p.republish(s)
			}
		}
	}()
	return nil
}

func (p *publisher) republish(s *standins) {
	version, err := p.publish(s)
	if err != nil {
		fmt.Fprintln(s.cmd.Root().ErrWriter, "files not published:", printable(err.Error()))
		return
	}
	fmt.Fprintf(s.cmd.Root().Writer, "published version %d\n", version)
}

// publish publishes the values that changed since the last call. It returns the version of the manifest, or 0 if the
// manifest has none.
func (p *publisher) publish(s *standins) (uint64, error) {
	outputs, err := p.outputs(s)
	if err != nil {
		return 0, err
	}
	hosts, err := readHosts(p.hosts)
	if err != nil {
		return 0, err
	}
	var version uint64
	for _, o := range outputs {
		if o.key != configurer.ManifestKey {
			continue
		}
		var m struct {
			Version uint64 `json:"version"`
		}
		_ = json.Unmarshal(o.data, &m)
		version = m.Version
		p.platform.RaiseRevision(version * revisionsPerVersion)
	}
	if err := p.publishHosts(hosts); err != nil {
		return 0, err
	}
	for _, o := range outputs {
		if p.recordChange(o.key, o.data) {
			p.platform.SetValue(o.key, o.data)
		}
	}
	return version, nil
}

func (p *publisher) publishHosts(hosts []subscriber.Host) error {
	data, err := json.Marshal(hosts)
	if err != nil {
		return trace.Wrap(err)
	}
	if p.recordChange("hosts", data) {
		p.platform.SetHosts(hosts)
	}
	return nil
}

// recordChange records the content of a key and reports whether it differs from the content recorded before.
func (p *publisher) recordChange(key string, data []byte) bool {
	old, ok := p.published[key]
	p.published[key] = data
	return !ok || !bytes.Equal(old, data)
}

// outputs returns the values in the order of publication.
func (p *publisher) outputs(s *standins) ([]output, error) {
	if p.sheet != "" {
		sheet, err := compileAndReport(s.cmd, p.sheet)
		if err != nil {
			return nil, err
		}
		return sheetOutputs(sheet), nil
	}
	return readValues(p.values)
}

// readValues reads a directory of values named by key and returns the manifest last. Like the platform, it does not
// check the content.
func readValues(dir string) ([]output, error) {
	var outputs []output
	var manifest *output
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || strings.HasPrefix(entry.Name(), ".") {
			return err
		}
		data, err := readInput(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		o := output{filepath.ToSlash(name), data}
		if o.key == configurer.ManifestKey {
			manifest = &o
			return nil
		}
		outputs = append(outputs, o)
		return nil
	})
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if manifest == nil {
		return nil, trace.NotFound("%s contains no file %s", dir, configurer.ManifestKey)
	}
	return append(outputs, *manifest), nil
}
