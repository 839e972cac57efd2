package chooser_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"clementineramp/chooser"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fleet returns n live upstreams with full weight and equal, known work, in three failure domains.
func fleet(n int) []chooser.Upstream {
	ups := make([]chooser.Upstream, n)
	for i := range ups {
		ups[i] = chooser.Upstream{
			Name:   fmt.Sprintf("engine-%03d", i),
			Domain: fmt.Sprintf("domain-%d", i%3),
			State:  chooser.Live,
			Known:  true,
			Work:   1000,
			Uptime: time.Hour,
		}
	}
	return ups
}

func mustNew(cfg chooser.Config) *chooser.Chooser {
	c, err := chooser.New(cfg)
	if err != nil {
		panic(err)
	}
	return c
}

func names(list []chooser.Candidate) []string {
	out := make([]string, len(list))
	for i, c := range list {
		out[i] = c.Name
	}
	return out
}
