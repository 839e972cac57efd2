package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// digestBytes is the length of a digest, in bytes.
const digestBytes = 16

// Digest is the first 16 bytes of a SHA-256 hash in hexadecimal.
type Digest string

// DigestOf returns the digest of data, in lower case.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// UnmarshalText accepts 32 hexadecimal digits in lower case.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	// Digests are compared as text, so only one spelling is accepted.
	if err != nil || len(raw) != digestBytes || hex.EncodeToString(raw) != string(text) {
		return fmt.Errorf("digest %q: want %d hexadecimal digits in lower case", text, 2*digestBytes)
	}
	*d = Digest(text)
	return nil
}

// PartRef is the name of a part with the digest of its content.
type PartRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Manifest lists the parts that make up one version of the configuration.
type Manifest struct {
	Version uint64    `json:"version"`
	Parts   []PartRef `json:"parts"`
}

// DecodeManifest decodes a manifest. It returns an error if the version is 0, no part is listed, or a part lacks its
// name or digest or shares its name with another.
func DecodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("manifest: %w", err)
	}
	if m.Version == 0 {
		return m, fmt.Errorf("manifest: field version is missing or 0")
	}
	if len(m.Parts) == 0 {
		return m, fmt.Errorf("manifest: field parts is empty")
	}
	seen := make(map[string]bool, len(m.Parts))
	for i, p := range m.Parts {
		if p.Name == "" || p.Digest == "" {
			return m, fmt.Errorf("manifest: part %d has no name or no digest", i)
		}
		if seen[p.Name] {
			return m, fmt.Errorf("manifest: part %q is listed twice", p.Name)
		}
		seen[p.Name] = true
	}
	return m, nil
}

// ManifestKey is the platform's key for the newest manifest.
const ManifestKey = "config/manifest"

// PartKey returns the platform's key for the part with a digest.
func PartKey(d Digest) string {
	return "config/part/" + string(d)
}
