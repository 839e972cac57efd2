package commander

import (
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/explainer"
	"clementineramp/loader"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// deployment holds the parsed files of a directory with a sheet, a host list and settings.
type deployment struct {
	sheet    *compiler.Sheet
	snapshot *configurer.Snapshot
	hosts    []subscriber.Host
	agents   []*loader.Settings
	platform netip.AddrPort
}

// readDeployment reads a directory and prints every error in its files.
func readDeployment(cmd *cli.Command, dir string) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.sheet, err = compileAndReport(cmd, filepath.Join(dir, "sheet.csv")); err != nil {
		return nil, err
	}
	if d.snapshot, err = configurer.Load(d.sheet.Manifest, d.sheet.Part); err != nil {
		return nil, err
	}
	if d.hosts, err = readHosts(filepath.Join(dir, "hosts.json")); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(dir, "settings", "*.json"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(paths) == 0 {
		return nil, trace.NotFound("%s contains no file settings/*.json", dir)
	}
	var messages []string
	for _, path := range paths {
		settings, err := loader.Check(path)
		var problems loader.Problems
		if err != nil && !errors.As(err, &problems) {
			return nil, err
		}
		for _, p := range problems {
			messages = append(messages, p.String())
		}
		if settings == nil {
			continue
		}
		if message := d.addSettings(settings); message != "" {
			messages = append(messages, path+": "+message)
		}
	}
	messages = append(messages, explainer.Mismatches(d.snapshot, d.hosts)...)
	for _, f := range messages {
		fmt.Fprintln(cmd.Root().ErrWriter, printable(f))
	}
	if len(messages) > 0 {
		return nil, errReported
	}
	return d, nil
}

// addSettings adds the settings of a process. It returns "", or an error message if they are inconsistent with the
// sheet or with the settings added before.
func (d *deployment) addSettings(s *loader.Settings) string {
	if !d.platform.IsValid() {
		d.platform = s.Platform[0]
	}
	if s.Platform[0] != d.platform {
		return fmt.Sprintf("platform: %v, but other settings name %v", s.Platform[0], d.platform)
	}
	if s.Upstream == nil {
		return ""
	}
	if !s.Upstream.Address.Addr().IsLoopback() {
		return fmt.Sprintf("upstream.address: %v is not on loopback", s.Upstream.Address)
	}
	_, isPool := d.snapshot.Pool(s.Upstream.Name)
	_, isService := d.snapshot.Service(s.Upstream.Name)
	switch {
	case s.Upstream.Kind == loader.KindEngine && !isPool:
		return fmt.Sprintf("upstream.name: the sheet has no pool %q", s.Upstream.Name)
	case s.Upstream.Kind == loader.KindService && !isService:
		return fmt.Sprintf("upstream.name: the sheet has no service %q", s.Upstream.Name)
	}
	d.agents = append(d.agents, s)
	return ""
}

// start starts the stand-ins of the platform and of all upstreams.
func (d *deployment) start(s *standins) error {
	if !d.platform.Addr().IsLoopback() {
		return trace.BadParameter("the platform's address %v is not on loopback", d.platform)
	}
	if err := s.platform(d.platform.String(), d.sheet, d.hosts); err != nil {
		return err
	}
	for _, a := range d.agents {
		if err := d.startUpstream(s, a); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startUpstream(s *standins, agent *loader.Settings) error {
	up := agent.Upstream
	if up.Kind == loader.KindService {
		return s.service(agent.Name, up.Address.String())
	}
	pool, _ := d.snapshot.Pool(up.Name)
	return s.engine(standin.EngineConfig{
		Name: agent.Name, Address: up.Address.String(), Model: pool.Model, Version: pool.Version,
		Slots: up.Slots, ChecksFence: up.ChecksFencing, TokenInterval: engineTokenInterval, LoadTime: engineLoadTime,
	})
}
