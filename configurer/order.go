package configurer

import (
	"cmp"
	"fmt"
)

// Pair identifies a configuration; pairs have a total order.
type Pair struct {
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
}

// Compare returns -1, 0 or +1 by version and then by the manifest's digest.
func (p Pair) Compare(q Pair) int {
	if c := cmp.Compare(p.Version, q.Version); c != 0 {
		return c
	}
	return cmp.Compare(p.Digest, q.Digest)
}

// String returns the pair in the form version/digest.
func (p Pair) String() string {
	return fmt.Sprintf("%d/%s", p.Version, p.Digest)
}

// Conflict says that one version was published with two contents.
type Conflict struct {
	Version uint64
	Digests [2]Digest
}

// String describes the conflict in one line.
func (c Conflict) String() string {
	return fmt.Sprintf("version %d was published with different content: digests %s and %s", c.Version, c.Digests[0], c.Digests[1])
}
