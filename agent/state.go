package agent

import (
	crand "crypto/rand"
	"math"

	"github.com/gravitational/trace"

	"clementineramp/chooser"
	"clementineramp/locator"
	"clementineramp/recorder"
	"clementineramp/service"
	"clementineramp/ticketer"
)

// noLimit is the load limit of an upstream without a limit.
var noLimit = math.Inf(1)

// secretBytes is the length of the secret that authenticates the tickets of one incarnation.
const secretBytes = 32

// initState creates the state that is lost in a restart: recorded answers, crash marks, chat locations, tickets and
// orders.
func (a *Agent) initState() error {
	setDefault(&a.cfg.TicketLifetime, ticketer.DefaultLifetime)
	setDefault(&a.cfg.Horizon, ticketer.DefaultHorizon)
	a.recorder = recorder.New(recorder.Config{Retention: a.cfg.AnswerRetention, Now: a.cfg.Now})
	a.suspects = newSuspectTracker(a.cfg.Log, a.cfg.Now)
	a.service = service.New(service.Config{Address: a.cfg.Upstream, Dial: a.cfg.DialUpstream})
	secret := make([]byte, secretBytes)
	if _, err := crand.Read(secret); err != nil {
		return trace.Wrap(err)
	}
	var err error
	if a.locator, err = locator.New(locator.Config{}); err != nil {
		return trace.Wrap(err)
	}
	if a.chooser, err = chooser.New(chooser.Config{Bound: a.cfg.Bound}); err != nil {
		return trace.Wrap(err)
	}
	a.ledger, err = ticketer.New(ticketer.Config{
		Service: a.cfg.Pool, Agent: a.cfg.Name, Incarnation: a.incarnation, Secret: secret,
		Started: a.started, Lifetime: a.cfg.TicketLifetime, Horizon: a.cfg.Horizon,
	})
	return trace.Wrap(err)
}
