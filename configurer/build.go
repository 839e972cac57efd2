package configurer

import (
	"fmt"
	"maps"
)

// build checks the parts of a manifest against each other and merges them into a snapshot.
// Organisations of parts that prev also contains are copied from prev, since rebuilding
// the maps of 14,000 organisations costs several times as much as copying them.
func build(prev *Snapshot, id ID, parts []namedPart) (*Snapshot, error) {
	if err := checkAcrossParts(parts); err != nil {
		return nil, err
	}
	s := &Snapshot{Version: id.Version, Digest: id.Digest, parts: make(map[Digest]*decodedPart, len(parts))}
	var added []namedPart
	for _, p := range parts {
		s.addSections(p.Part)
		d := p.digest
		_, duplicate := s.parts[d]
		s.parts[d] = p.decodedPart
		if duplicate || prev == nil || prev.parts[d] == nil {
			added = append(added, p)
		}
	}
	s.copyOrganisations(prev)
	for _, p := range added {
		if err := s.addOrganisations(p); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// copyOrganisations copies the organisations of prev, except those of parts that s does not contain.
func (s *Snapshot) copyOrganisations(prev *Snapshot) {
	if prev == nil {
		s.organisations = map[string]Organisation{}
		s.nameByKey = map[keyHash]string{}
		return
	}
	s.organisations = maps.Clone(prev.organisations)
	s.nameByKey = maps.Clone(prev.nameByKey)
	for d, c := range prev.parts {
		if s.parts[d] != nil {
			continue
		}
		for i, o := range c.Organisations {
			delete(s.organisations, o.Name)
			delete(s.nameByKey, c.keys[i])
		}
	}
}

func (s *Snapshot) addOrganisations(p namedPart) error {
	for i, o := range p.Organisations {
		line := p.lines.organisations[i]
		if _, ok := s.organisations[o.Name]; ok {
			return p.errorf(line, "name", "organisation %q is listed twice", o.Name)
		}
		if other, ok := s.nameByKey[p.keys[i]]; ok {
			return p.errorf(line, "key_hash", "organisations %q and %q have the same key", other, o.Name)
		}
		s.organisations[o.Name] = o
		s.nameByKey[p.keys[i]] = o.Name
	}
	return nil
}

// Load checks a complete configuration and returns its snapshot. part returns the content with a digest. If a part is
// invalid or missing, the error is a *PartError.
func Load(manifest []byte, part func(Digest) ([]byte, bool)) (*Snapshot, error) {
	m, err := DecodeManifest(manifest)
	if err != nil {
		return nil, err
	}
	parts := make([]namedPart, 0, len(m.Parts))
	for _, ref := range m.Parts {
		data, ok := part(ref.Digest)
		if !ok || DigestOf(data) != ref.Digest {
			return nil, &PartError{Part: ref.Name, Err: fmt.Errorf("content with digest %s is missing", ref.Digest)}
		}
		c, err := decodePart(ref.Name, data)
		if err != nil {
			return nil, err
		}
		c.digest = ref.Digest
		parts = append(parts, namedPart{ref.Name, c})
	}
	return build(nil, ID{Version: m.Version, Digest: DigestOf(manifest)}, parts)
}
