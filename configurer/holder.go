package configurer

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// maxPending bounds the manifests that wait for parts; the greatest are kept.
	// More than one is kept so that an incomplete version does not hold back a complete smaller one.
	maxPending = 4
	// maxRefused bounds the memory of configurations that were found invalid.
	maxRefused = 16
	// maxSeen bounds the versions whose digests are remembered to find conflicts.
	maxSeen = 32
	// maxManifestBytes bounds a manifest; the platform holds no larger value.
	maxManifestBytes = 1 << 20
)

// Result says what an offer, a part or a sighting led to.
type Result struct {
	// Adopted is the snapshot that came into force by it, or nil.
	Adopted *Snapshot
	// Conflict is the first sighting of a second content of a version, or nil; operators should be alarmed.
	Conflict *Conflict
	// Wanted says that the configuration is greater than the one in force and that its manifest or parts are still needed.
	Wanted bool
}

// Holder holds the configuration in force and those that wait for parts; it is safe for concurrent use.
type Holder struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// manifest is the encoded manifest in force.
	manifest []byte
	// pending is sorted from the greatest to the smallest.
	pending     []pendingManifest
	parts       map[Digest]*decodedPart
	refused     []refusal
	seenDigests map[uint64][]Digest
}

type pendingManifest struct {
	id   ID
	data []byte
	Manifest
}

type refusal struct {
	id  ID
	err error
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{parts: map[Digest]*decodedPart{}, seenDigests: map[uint64][]Digest{}}
}

// Snapshot returns the configuration in force, or nil before the first.
func (h *Holder) Snapshot() *Snapshot {
	return h.snapshot.Load()
}

// Current returns the configuration in force; the zero id means none.
func (h *Holder) Current() ID {
	if s := h.snapshot.Load(); s != nil {
		return s.ID()
	}
	return ID{}
}

// Observe takes the sighting of a configuration at a peer and says whether its manifest or parts are wanted.
func (h *Holder) Observe(p ID) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Version == 0 || p.Digest == "" {
		return Result{}
	}
	r := Result{Conflict: h.recordDigest(p)}
	r.Wanted = p.Compare(h.Current()) > 0 && h.refusedErr(p) == nil
	return r
}

// Offer takes a manifest from any source and adopts it if it is the greatest and its parts are present and valid.
// The error says why the configuration is invalid; the one in force then stays.
func (h *Holder) Offer(manifest []byte) (Result, error) {
	if len(manifest) > maxManifestBytes {
		return Result{}, fmt.Errorf("manifest: %d bytes, want at most %d", len(manifest), maxManifestBytes)
	}
	m, err := DecodeManifest(manifest)
	if err != nil {
		return Result{}, err
	}
	id := ID{Version: m.Version, Digest: DigestOf(manifest)}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Result{Conflict: h.recordDigest(id)}
	if id.Compare(h.Current()) <= 0 {
		return r, nil
	}
	if h.isPending(id) {
		r.Wanted = true
		return r, nil
	}
	if err := h.refusedErr(id); err != nil {
		return r, err
	}
	h.addPending(pendingManifest{id: id, data: slices.Clone(manifest), Manifest: m})
	r.Adopted, err = h.adopt()
	r.Wanted = h.isPending(id)
	return r, err
}

// Missing returns the digests of the parts that pending manifests lack, those of the greatest first.
func (h *Holder) Missing() []Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Digest
	seen := map[Digest]bool{}
	for _, p := range h.pending {
		for _, ref := range p.Parts {
			if h.parts[ref.Digest] == nil && !seen[ref.Digest] {
				seen[ref.Digest] = true
				out = append(out, ref.Digest)
			}
		}
	}
	return out
}

// AddPart takes a part that a pending manifest lacks; a part that none lacks is ignored.
// A part that does not match its digest changes nothing. An invalid part refuses the manifests that list it.
func (h *Holder) AddPart(digest Digest, data []byte) (Result, error) {
	if got := DigestOf(data); got != digest {
		return Result{}, fmt.Errorf("part with digest %s: the content has digest %s", digest, got)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	name, ok := h.pendingPartName(digest)
	if !ok || h.parts[digest] != nil {
		return Result{}, nil
	}
	c, err := decodePart(name, slices.Clone(data))
	if err != nil {
		h.refuseManifestsListing(digest, err)
		// A refused manifest may have been all that wanted some of the parts.
		h.dropUnused()
		return Result{}, err
	}
	c.digest = digest
	h.parts[digest] = c
	adopted, err := h.adopt()
	return Result{Adopted: adopted, Wanted: len(h.pending) > 0}, err
}

// Part returns the content of a part that is in force or pending.
func (h *Holder) Part(digest Digest) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.parts[digest]
	if !ok {
		return nil, false
	}
	return c.data, true
}

// Manifest returns the manifest in force if it has the digest.
func (h *Holder) Manifest(digest Digest) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if digest == "" || h.Current().Digest != digest {
		return nil, false
	}
	return h.manifest, true
}

// adopt puts the greatest complete and valid manifest in force; the caller holds the lock.
func (h *Holder) adopt() (*Snapshot, error) {
	var firstErr error
	for i := 0; i < len(h.pending); {
		p := h.pending[i]
		parts, complete := h.partsOf(p)
		if !complete {
			i++
			continue
		}
		s, err := build(h.Snapshot(), p.id, parts)
		if err != nil {
			h.refuse(p.id, err)
			firstErr = fmt.Errorf("configuration %s: %w", p.id, err)
			continue
		}
		h.manifest = p.data
		// All that follow are smaller, so none of them may come into force any more.
		h.pending = h.pending[:i]
		h.snapshot.Store(s)
		h.dropUnused()
		return s, firstErr
	}
	h.dropUnused()
	return nil, firstErr
}

func (h *Holder) partsOf(p pendingManifest) ([]namedPart, bool) {
	parts := make([]namedPart, 0, len(p.Parts))
	for _, ref := range p.Parts {
		c := h.parts[ref.Digest]
		if c == nil {
			return nil, false
		}
		parts = append(parts, namedPart{ref.Name, c})
	}
	return parts, true
}

func (h *Holder) addPending(p pendingManifest) {
	h.pending = append(h.pending, p)
	slices.SortFunc(h.pending, func(a, b pendingManifest) int { return b.id.Compare(a.id) })
	if len(h.pending) > maxPending {
		h.pending = h.pending[:maxPending]
	}
}

func (h *Holder) isPending(id ID) bool {
	return slices.ContainsFunc(h.pending, func(p pendingManifest) bool { return p.id == id })
}

func (h *Holder) pendingPartName(digest Digest) (string, bool) {
	for _, p := range h.pending {
		for _, ref := range p.Parts {
			if ref.Digest == digest {
				return ref.Name, true
			}
		}
	}
	return "", false
}

func (h *Holder) refuseManifestsListing(digest Digest, err error) {
	for _, p := range slices.Clone(h.pending) {
		if slices.ContainsFunc(p.Parts, func(ref PartRef) bool { return ref.Digest == digest }) {
			h.refuse(p.id, err)
		}
	}
}

// refuse forgets a pending manifest and remembers its id, so that it is not fetched again.
func (h *Holder) refuse(id ID, err error) {
	h.pending = slices.DeleteFunc(h.pending, func(p pendingManifest) bool { return p.id == id })
	h.refused = append(h.refused, refusal{id, err})
	if len(h.refused) > maxRefused {
		h.refused = h.refused[1:]
	}
}

func (h *Holder) refusedErr(id ID) error {
	for _, r := range h.refused {
		if r.id == id {
			return fmt.Errorf("configuration %s was refused: %w", id, r.err)
		}
	}
	return nil
}

// dropUnused forgets parts that neither the configuration in force nor a pending manifest lists.
func (h *Holder) dropUnused() {
	used := map[Digest]bool{}
	for _, p := range h.pending {
		for _, ref := range p.Parts {
			used[ref.Digest] = true
		}
	}
	s := h.Snapshot()
	for d := range h.parts {
		if !used[d] && (s == nil || s.parts[d] == nil) {
			delete(h.parts, d)
		}
	}
}

// recordDigest remembers the digests of a version and returns a conflict at the first sighting of each further one.
func (h *Holder) recordDigest(p ID) *Conflict {
	known := h.seenDigests[p.Version]
	if slices.Contains(known, p.Digest) || len(known) >= maxSeen {
		return nil
	}
	h.seenDigests[p.Version] = append(known, p.Digest)
	h.dropSmallestVersion()
	if len(known) == 0 {
		return nil
	}
	return &Conflict{Version: p.Version, Digests: [2]Digest{known[0], p.Digest}}
}

func (h *Holder) dropSmallestVersion() {
	if len(h.seenDigests) <= maxSeen {
		return
	}
	lowest := uint64(0)
	for v := range h.seenDigests {
		if lowest == 0 || v < lowest {
			lowest = v
		}
	}
	delete(h.seenDigests, lowest)
}
