package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// digestBytes is the length of a digest, in bytes.
const digestBytes = 16

// Digest is the first 16 bytes of a SHA-256 in hexadecimal.
type Digest string

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// UnmarshalText decodes and checks a digest.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	// One spelling only: digests are compared as text.
	if err != nil || len(raw) != digestBytes || hex.EncodeToString(raw) != string(text) {
		return fmt.Errorf("digest %q: want %d hexadecimal digits in lower case", text, 2*digestBytes)
	}
	*d = Digest(text)
	return nil
}

// PartRef names a part and its content.
type PartRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Manifest lists the parts that make up one version of the configuration.
type Manifest struct {
	Version uint64    `json:"version"`
	Parts   []PartRef `json:"parts"`
}

// DecodeManifest decodes and checks a manifest.
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

// ManifestKey is the platform's key of the newest manifest.
const ManifestKey = "config/manifest"

// PartKey returns the platform's key of a part.
func PartKey(d Digest) string {
	return "config/part/" + string(d)
}
