package demonstrator

import (
	"net"

	"github.com/gravitational/trace"

	"clementineramp/launcher"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// PlatformEndpoint is the name of the platform on the fleet's network.
const PlatformEndpoint = "platform"

// UpstreamEndpoint returns the name on the fleet's network of the upstream that an agent serves.
func UpstreamEndpoint(agent string) string {
	return agent + "-upstream"
}

// listenFunc returns the listen function of a stand-in, or nil without an in-memory network. Each listener belongs to a
// new incarnation of the stand-in.
func (f *Fleet) listenFunc(process string) standin.ListenFunc {
	if f.cfg.InMemory == nil {
		return nil
	}
	return func(network, address string) (net.Listener, error) {
		return f.cfg.InMemory.Endpoint(process).Listen(network, address)
	}
}

func (f *Fleet) networkFor(process string) launcher.Network {
	if f.cfg.Network != nil {
		return f.cfg.Network(process)
	}
	if f.cfg.InMemory == nil {
		return launcher.Network{}
	}
	e := f.cfg.InMemory.Endpoint(process)
	return launcher.Network{Listen: e.Listen, Dial: e.Dial}
}

// Process returns the router or agent with a name, or a not-found error.
func (f *Fleet) Process(name string) (*launcher.Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := f.element(name)
	if err != nil {
		return nil, err
	}
	return *p, nil
}

// element returns a pointer to the element of Routers or Agents with a name; the caller must hold the lock.
func (f *Fleet) element(name string) (**launcher.Process, error) {
	for _, list := range [][]*launcher.Process{f.Routers, f.Agents} {
		for i, p := range list {
			if p.Name() == name {
				return &list[i], nil
			}
		}
	}
	return nil, trace.NotFound("no router or agent named %q", name)
}

// KillProcess ends a router or an agent at once, without a graceful shutdown.
func (f *Fleet) KillProcess(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	if f.cfg.InMemory != nil {
		f.cfg.InMemory.Kill(name)
	}
	p.Kill()
	return nil
}

// RestartProcess starts a process that has ended, again at the same addresses.
func (f *Fleet) RestartProcess(name string) error {
	p, _, err := f.launch(f.specs[name])
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, err := f.element(name)
	if err != nil {
		return err
	}
	*entry = p
	return nil
}

// Hosts returns a copy of the fleet's own list of hosts; the platform may serve a different one.
func (f *Fleet) Hosts() []subscriber.Host {
	return append([]subscriber.Host(nil), f.hosts...)
}
