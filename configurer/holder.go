package configurer

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// maxPending bounds the manifests that wait for parts; those with the highest IDs are kept.
	// More than one is kept so that an incomplete version does not block a complete lower one.
	maxPending = 4
	// maxRefused bounds the number of remembered invalid configurations.
	maxRefused = 16
	// maxSeen bounds the versions whose digests are remembered to detect conflicts, and the digests of each version.
	maxSeen = 32
	// maxManifestBytes bounds a manifest; the platform stores no larger value.
	maxManifestBytes = 1 << 20
)

// Result is the outcome of Offer, AddPart or Observe.
type Result struct {
	// Adopted is the snapshot that became the current one through this call, or nil.
	Adopted *Snapshot
	// Conflict reports that a version was seen with a content that differs from an earlier one of that version; it is nil
	// if there is none or if it was reported before. The caller should raise an alarm.
	Conflict *Conflict
	// Wanted is true if the configuration is higher than the current one and its manifest or parts are still needed.
	// After AddPart has added a part, it is true if any configuration is still pending.
	Wanted bool
}

// Holder holds the current configuration and pending ones, which wait for parts. It is safe for concurrent use.
type Holder struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// manifest is the encoded current manifest.
	manifest []byte
	// pending is sorted from the highest to the lowest ID.
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

// NewHolder returns a Holder without a configuration; its Snapshot is nil until the first is adopted.
func NewHolder() *Holder {
	return &Holder{parts: map[Digest]*decodedPart{}, seenDigests: map[uint64][]Digest{}}
}

// Snapshot returns the current configuration, or nil before the first is adopted.
func (h *Holder) Snapshot() *Snapshot {
	return h.snapshot.Load()
}

// Current returns the ID of the current configuration, or the zero ID if there is none.
func (h *Holder) Current() ID {
	if s := h.snapshot.Load(); s != nil {
		return s.ID()
	}
	return ID{}
}

// Observe records that a peer has a configuration and reports whether its manifest or parts are wanted. An incomplete
// ID is ignored.
func (h *Holder) Observe(id ID) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id.Version == 0 || id.Digest == "" {
		return Result{}
	}
	r := Result{Conflict: h.recordDigest(id)}
	r.Wanted = id.Compare(h.Current()) > 0 && h.refusedErr(id) == nil
	return r
}

// Offer accepts a manifest from any source and adopts it if it is the highest and its parts are present and valid.
// The error gives the reason why the configuration is invalid; the current one then stays in use.
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

// Missing returns the digests of the parts that pending manifests lack, those of the highest manifest first.
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

// AddPart adds a part that a pending manifest lacks; a part that none lacks is ignored.
// Content that does not match the digest is an error and changes nothing. An invalid part causes every pending
// manifest that lists it to be refused.
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
		// The refused manifests may have been the only ones that list some of the stored parts.
		h.dropUnused()
		return Result{}, err
	}
	c.digest = digest
	h.parts[digest] = c
	adopted, err := h.adopt()
	return Result{Adopted: adopted, Wanted: len(h.pending) > 0}, err
}

// Part returns the content of a part of the current or a pending configuration.
func (h *Holder) Part(digest Digest) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.parts[digest]
	if !ok {
		return nil, false
	}
	return c.data, true
}

// Manifest returns the encoded current manifest if it has the digest.
func (h *Holder) Manifest(digest Digest) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if digest == "" || h.Current().Digest != digest {
		return nil, false
	}
	return h.manifest, true
}

// adopt makes the highest complete and valid pending manifest the current one, or returns nil if there is none. It
// refuses invalid manifests and returns the error of the last. The caller holds the lock.
func (h *Holder) adopt() (*Snapshot, error) {
	var lastErr error
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
			lastErr = fmt.Errorf("configuration %s: %w", p.id, err)
			continue
		}
		h.manifest = p.data
		// All following manifests are lower, so none of them may be adopted any more.
		h.pending = h.pending[:i]
		h.snapshot.Store(s)
		h.dropUnused()
		return s, lastErr
	}
	h.dropUnused()
	return nil, lastErr
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

// refuse removes a pending manifest and records its ID, so that it is not fetched again.
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

// dropUnused removes parts that neither the current configuration nor a pending manifest lists.
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

// recordDigest records the digests seen for each version. It returns a conflict when it first sees a further digest
// of a version.
func (h *Holder) recordDigest(id ID) *Conflict {
	known := h.seenDigests[id.Version]
	if slices.Contains(known, id.Digest) || len(known) >= maxSeen {
		return nil
	}
	h.seenDigests[id.Version] = append(known, id.Digest)
	h.dropLowestVersion()
	if len(known) == 0 {
		return nil
	}
	return &Conflict{Version: id.Version, Digests: [2]Digest{known[0], id.Digest}}
}

func (h *Holder) dropLowestVersion() {
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
