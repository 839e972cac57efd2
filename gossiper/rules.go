package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/subscriber"
)

const (
	// watchersPerDomain is the number of processes of a failure domain that watch the platform.
	watchersPerDomain = 3
	// pushPeers is the number of peers to which a process announces a configuration that it adopted.
	pushPeers = 3
	// startPeers is the number of peers that a starting process queries.
	startPeers = 3

	// minFallback is the shortest interval of fallback reads.
	minFallback = 15 * time.Second
	// fallbackPerHost keeps the fleet's fallback reads at about 18 a second at any size.
	fallbackPerHost = 60 * time.Millisecond
	// fallbackSpread is the fraction of the interval by which a fallback read may come early.
	fallbackSpread = 0.2

	// minRetry is the shortest base of the delay before a process retries a failed read of the platform.
	minRetry = time.Second
	// retryPerHost keeps the reads after an outage below 1,000 a second at any fleet size, half of the platform's limit.
	retryPerHost = 2 * time.Millisecond
	// maxRetryDoublings limits the growth of the delay; a delay of 8 s at 1,020 hosts leaves enough time for a
	// configuration to become the current one within 17 s.
	maxRetryDoublings = 1

	// watcherPartReads and otherPartReads are the part reads per second that all watchers and all other processes of the
	// fleet may send, together less than half of the platform's limit.
	watcherPartReads = 600
	otherPartReads   = 300
)

// Watchers returns the names of up to three processes of a failure domain that watch the platform: the live hosts with
// the lowest hashes of their names, as in rendezvous hashing.
func Watchers(hosts []subscriber.Host, domain string) []string {
	type hashedHost struct {
		name string
		hash uint64
	}
	var all []hashedHost
	for _, h := range hosts {
		if h.Domain == domain && h.State == subscriber.StateLive && h.Control != "" {
			all = append(all, hashedHost{h.Name, xxhash.Sum64String("watch\x00" + h.Name)})
		}
	}
	slices.SortFunc(all, func(a, b hashedHost) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, watchersPerDomain)
	for _, p := range all[:min(watchersPerDomain, len(all))] {
		names = append(names, p.name)
	}
	return names
}

// FallbackInterval returns the time between fallback reads: 60 ms per host, at least 15 s, less up to 20 % in proportion
// to u, which is a random number from 0 to 1.
func FallbackInterval(hosts int, u float64) time.Duration {
	interval := max(minFallback, time.Duration(hosts)*fallbackPerHost)
	return scale(interval, 1-fallbackSpread*u)
}

// RetryDelay returns the time from a failed read of the platform to the next one. The number of consecutive failures
// starts from 1, and u is a random number from 0 to 1. In an outage all processes fail at the same time, so the delays
// are spread over a time that grows with the fleet.
func RetryDelay(hosts, failures int, u float64) time.Duration {
	base := max(minRetry, time.Duration(hosts)*retryPerHost)
	base <<= min(max(failures-1, 0), maxRetryDoublings)
	return scale(base, 0.5+u)
}

// partRate returns the part reads per second that one process may send to the platform.
func partRate(hosts []subscriber.Host, watcher bool) float64 {
	if !watcher {
		return otherPartReads / float64(max(1, len(hosts)))
	}
	domains := map[string]bool{}
	for _, h := range hosts {
		domains[h.Domain] = true
	}
	return watcherPartReads / float64(watchersPerDomain*max(1, len(domains)))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
