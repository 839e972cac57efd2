package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// maxEvacuationDelay is the time after which upstreams of an evacuated failure domain receive no more requests. The platform
	// allows 5 s; gateways act as soon as they know, as for upstreams that leave.
	maxEvacuationDelay = maxLeaveDelay
	// evacuationStream selects the random numbers of evacuations, so that they leave the other faults of a seed as they are.
	evacuationStream = 1 << 32
	// failureDomains is the number of failure domains over which upstreams are spread if there are evacuations.
	failureDomains = 3
)

// evacuation is the time from the acceptance of an evacuation by the store until just before it is taken back.
type evacuation struct {
	failureDomain string
	start, end    time.Time
}

// failureDomainOf returns the failure domain of the upstream with a number; empty means the usual one.
func (s *soak) failureDomainOf(n int) string {
	if s.cfg.Evacuations == 0 {
		return ""
	}
	return fmt.Sprint("upstreams-", n%failureDomains)
}

// evacuate evacuates failure domains for a few seconds each, one after the other, until the number of the configuration.
func (s *soak) evacuate(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, evacuationStream))
	for range s.cfg.Evacuations {
		pause(ctx, randomDuration(random, 0, 2*time.Second))
		e := evacuation{failureDomain: s.failureDomainOf(random.IntN(failureDomains))}
		s.store.Evacuate(e.failureDomain)
		e.start = time.Now()
		pause(ctx, randomDuration(random, maxEvacuationDelay+time.Second, maxEvacuationDelay+3*time.Second))
		e.end = time.Now()
		s.store.Withdraw(e.failureDomain)
		s.mu.Lock()
		s.evacuations = append(s.evacuations, e)
		s.faultLog = append(s.faultLog, fmt.Sprintf("%s to %s evacuate %s", e.start.UTC().Format(timeFormat), e.end.UTC().Format(timeFormat), e.failureDomain))
		s.mu.Unlock()
	}
}

// checkEvacuations checks that no request reached an upstream later than maxEvacuationDelay after its failure domain was
// evacuated, unless a fault affected its gateway or the upstream.
func (s *soak) checkEvacuations(sent map[string]*attempt) {
	for _, u := range s.allUpstreams {
		for _, r := range u.Runs() {
			a := sent[r.ID]
			for _, e := range s.evacuations {
				late := r.Start.Sub(e.start)
				if a == nil || e.failureDomain != u.FailureDomain || late <= maxEvacuationDelay+timeTolerance || r.Start.After(e.end) {
					continue
				}
				if s.faultFree(e.start.Add(-reconnectTime), r.Start, s.gateways[a.gateway].process.Name, u.ID) {
					s.addViolation("evacuated: %s ran at %s %v after %s was evacuated", a.id, u.ID, late, e.failureDomain)
				}
			}
		}
	}
}
