package configurer

import (
	"cmp"
	"fmt"
)

// ID identifies a configuration; pairs have a total order.
type ID struct {
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
}

// Compare returns -1, 0 or +1 by version and then by the manifest's digest.
func (p ID) Compare(q ID) int {
	if c := cmp.Compare(p.Version, q.Version); c != 0 {
		return c
	}
	return cmp.Compare(p.Digest, q.Digest)
}

// String returns the id in the form version/digest.
func (p ID) String() string {
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
