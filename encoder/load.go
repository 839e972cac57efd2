package encoder

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// LoadEntry is the load of one upstream, as its agent measured it.
type LoadEntry struct {
	Upstream string `json:"u"`
	// Hash is the NameHash of the upstream's name. It is sent instead of the name to receivers that find the upstream by
	// its hash in the list of hosts; Upstream is then empty.
	Hash        uint32 `json:"h,omitempty"`
	Incarnation uint64 `json:"i,string"`
	Sequence    uint64 `json:"q"`
	// Work is the work running in the engine, in tokens.
	Work float64 `json:"w"`
	// Queued is the work waiting at the agent, in tokens.
	Queued float64 `json:"b,omitempty"`
	// AgeMS is the time since the agent measured the load, in milliseconds.
	AgeMS int64 `json:"a"`
	// UptimeMS is the time since the upstream became ready, in milliseconds; 0 means that it is not ready.
	UptimeMS int64 `json:"t"`
	Leaving  bool  `json:"l,omitempty"`
	// Version is the model version that is loaded and ready in the engine.
	Version string `json:"v,omitempty"`
}

// NameHash returns the hash that replaces the name of an upstream in piggybacked entries; it is never 0.
func NameHash(name string) uint32 {
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// Brief returns the entry as it is piggybacked on requests and responses: without the model version, and with a hash
// instead of the name.
func (e LoadEntry) Brief() LoadEntry {
	e.Hash = NameHash(e.Upstream)
	e.Upstream, e.Version = "", ""
	return e
}

// check returns an error if the entry lacks a name or a number is out of range.
func (e LoadEntry) check() error {
	if (e.Upstream == "" && e.Hash == 0) || e.AgeMS < 0 || e.UptimeMS < 0 || e.AgeMS > maxMS || e.UptimeMS > maxMS || !finiteNonNegative(e.Work) || !finiteNonNegative(e.Queued) {
		return fmt.Errorf("load entry %q is out of range", e.Upstream)
	}
	return nil
}

// finiteNonNegative reports whether v is neither negative, infinite nor NaN.
func finiteNonNegative(v float64) bool {
	return v >= 0 && !math.IsInf(v, 1)
}

// LoadEntries is a list of load entries with a compact wire form: as JSON objects, eight entries take about 900 bytes
// per request, more than the control budget allows for one request at the fleet's target size.
type LoadEntries []LoadEntry

// compactEntry is the CBOR form of an entry, with integers as keys. Decoding ignores unknown keys, so that a new field
// can be added while older processes run.
type compactEntry struct {
	Upstream    string  `cbor:"1,keyasint,omitempty"`
	Hash        uint32  `cbor:"10,keyasint,omitempty"`
	Incarnation uint64  `cbor:"2,keyasint,omitempty"`
	Sequence    uint64  `cbor:"3,keyasint,omitempty"`
	Work        float64 `cbor:"4,keyasint,omitempty"`
	Queued      float64 `cbor:"5,keyasint,omitempty"`
	AgeMS       uint64  `cbor:"6,keyasint,omitempty"`
	UptimeMS    uint64  `cbor:"7,keyasint,omitempty"`
	Leaving     bool    `cbor:"8,keyasint,omitempty"`
	Version     string  `cbor:"9,keyasint,omitempty"`
}

// newCompactEntry converts an entry and sets negative times to 0.
func newCompactEntry(e LoadEntry) compactEntry {
	return compactEntry{
		Upstream: e.Upstream, Hash: e.Hash, Incarnation: e.Incarnation, Sequence: e.Sequence,
		Work: e.Work, Queued: e.Queued,
		AgeMS: uint64(max(e.AgeMS, 0)), UptimeMS: uint64(max(e.UptimeMS, 0)), Leaving: e.Leaving, Version: e.Version,
	}
}

func (c compactEntry) loadEntry() LoadEntry {
	return LoadEntry{
		Upstream: c.Upstream, Hash: c.Hash, Incarnation: c.Incarnation, Sequence: c.Sequence,
		Work: c.Work, Queued: c.Queued,
		AgeMS: clampMS(c.AgeMS), UptimeMS: clampMS(c.UptimeMS), Leaving: c.Leaving, Version: c.Version,
	}
}

// clampMS converts a time in milliseconds. A value beyond maxMS becomes maxMS+1, which check refuses.
func clampMS(ms uint64) int64 {
	return int64(min(ms, uint64(maxMS)+1))
}

// check returns an error that names the first entry that is out of range.
func (l LoadEntries) check() error {
	for _, e := range l {
		if err := e.check(); err != nil {
			return err
		}
	}
	return nil
}

// loadEncMode encodes numbers of tokens as the shortest float that holds them: two or four bytes for whole tokens.
var loadEncMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// MarshalCBOR encodes the entries in their compact form.
func (l LoadEntries) MarshalCBOR() ([]byte, error) {
	wire := make([]compactEntry, len(l))
	for i, e := range l {
		wire[i] = newCompactEntry(e)
	}
	return loadEncMode.Marshal(wire)
}

// UnmarshalCBOR decodes and checks entries in their compact form.
func (l *LoadEntries) UnmarshalCBOR(data []byte) error {
	var wire []compactEntry
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return fmt.Errorf("load entries: %w", err)
	}
	*l = make(LoadEntries, len(wire))
	for i, c := range wire {
		(*l)[i] = c.loadEntry()
	}
	return l.check()
}

// MarshalJSON encodes the entries as the base64 text of their compact form.
func (l LoadEntries) MarshalJSON() ([]byte, error) {
	data, err := l.MarshalCBOR()
	if err != nil {
		return nil, err
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(data))
}

// UnmarshalJSON decodes and checks entries, in their compact form or as a list of objects.
func (l *LoadEntries) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		var entries []LoadEntry
		if err := json.Unmarshal(data, &entries); err != nil {
			return fmt.Errorf("load entries: %w", err)
		}
		*l = entries
		return l.check()
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("load entries: %w", err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("load entries: %w", err)
	}
	return l.UnmarshalCBOR(raw)
}

// LoadBytes returns the size in bytes of load entries in a header. Of an envelope, only these bytes count as control
// traffic.
func LoadBytes(entries LoadEntries) int {
	if len(entries) == 0 {
		return 0
	}
	b, err := json.Marshal(entries)
	if err != nil {
		return 0
	}
	return len(b)
}
