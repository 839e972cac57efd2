package configurer

import (
	"cmp"
	"fmt"
)

// ID identifies a configuration by its version and the digest of its manifest. IDs are totally ordered.
type ID struct {
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
}

// Compare returns -1, 0 or +1. It compares the version first and then the manifest's digest.
func (id ID) Compare(other ID) int {
	if c := cmp.Compare(id.Version, other.Version); c != 0 {
		return c
	}
	return cmp.Compare(id.Digest, other.Digest)
}

// String returns the ID in the form version/digest.
func (id ID) String() string {
	return fmt.Sprintf("%d/%s", id.Version, id.Digest)
}

// Conflict reports that one version was published with different contents; Digests are those of two of its manifests.
type Conflict struct {
	Version uint64
	Digests [2]Digest
}

// String returns the version and both digests in one line.
func (c Conflict) String() string {
	return fmt.Sprintf("version %d was published with different content: digests %s and %s", c.Version, c.Digests[0], c.Digests[1])
}
