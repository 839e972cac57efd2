package encoder

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat, such as a question of the user or an answer of the assistant.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// defaultMaxTokens is the assumed limit, in tokens, for a request that does not limit its answer.
const defaultMaxTokens = 256

// bytesPerToken is the usual estimate for text in mixed languages.
const bytesPerToken = 4

// ChatRequest is a chat-completions request. Decoding keeps the fields that the type lacks, and encoding writes them
// again.
type ChatRequest struct {
	Model     string
	Messages  []Message
	Stream    bool
	MaxTokens int
	Seed      *int64
	// Priority is the scheduling priority at the engine; a lower number is more urgent.
	Priority int
	// RequestID identifies the generation at the engine.
	RequestID string
	// Version is the model version that the engine must have loaded; empty means any.
	Version string
	// Prefix is the part of the answer that the caller already has; the engine continues after it.
	Prefix string

	// unknownFields holds the fields of the caller that chatFields lacks, and rawMessages the field messages as the
	// caller sent it.
	unknownFields map[string]json.RawMessage
	rawMessages   json.RawMessage
}

// chatFields is the JSON form of a ChatRequest without the unknown fields.
type chatFields struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Seed      *int64    `json:"seed,omitempty"`
	Priority  int       `json:"priority,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Version   string    `json:"model_version,omitempty"`
	Prefix    string    `json:"answer_prefix,omitempty"`
}

// UnmarshalJSON decodes and checks a chat request. It refuses a known field that is set twice under names that differ
// only in case.
func (r *ChatRequest) UnmarshalJSON(data []byte) error {
	var f chatFields
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("chat request: %w", err)
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return fmt.Errorf("chat request: %w", err)
	}
	known, err := extractKnownFields(raw)
	if err != nil {
		return err
	}
	messages := known["messages"]
	// If a field occurs twice, package json merges both values, while raw holds only the last, which is forwarded.
	f.Messages = nil
	if messages != nil {
		if err := json.Unmarshal(messages, &f.Messages); err != nil {
			return fmt.Errorf("chat request: %w", err)
		}
	}
	if f.Model == "" {
		return fmt.Errorf("chat request: field model is missing")
	}
	if len(f.Messages) == 0 {
		return fmt.Errorf("chat request: field messages is empty")
	}
	if f.MaxTokens < 0 {
		return fmt.Errorf("chat request: field max_tokens is %d, want 0 or more", f.MaxTokens)
	}
	*r = ChatRequest{
		Model: f.Model, Messages: f.Messages, Stream: f.Stream, MaxTokens: f.MaxTokens, Seed: f.Seed,
		Priority: f.Priority, RequestID: f.RequestID, Version: f.Version, Prefix: f.Prefix, unknownFields: raw, rawMessages: messages,
	}
	return nil
}

// extractKnownFields removes the fields that chatFields decodes from raw and returns them by their canonical names. If
// a known field stayed among the unknown ones, a value that the router has cleared would reappear when the request is
// encoded.
func extractKnownFields(raw map[string]json.RawMessage) (map[string]json.RawMessage, error) {
	known := map[string]json.RawMessage{}
	for name, value := range raw {
		for _, canonical := range chatFieldNames {
			// Package json matches names in any case.
			if !strings.EqualFold(name, canonical) {
				continue
			}
			if _, duplicate := known[canonical]; duplicate {
				return nil, fmt.Errorf("chat request: field %s stands twice", canonical)
			}
			known[canonical] = value
			delete(raw, name)
		}
	}
	return known, nil
}

// chatFieldNames lists the JSON names of chatFields.
var chatFieldNames = []string{
	"model", "messages", "stream", "max_tokens", "seed", "priority", "request_id", "model_version", "answer_prefix",
}

// MarshalJSON encodes the request with the unknown fields of the caller.
func (r ChatRequest) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(chatFields{
		Model: r.Model, Messages: r.Messages, Stream: r.Stream, MaxTokens: r.MaxTokens, Seed: r.Seed,
		Priority: r.Priority, RequestID: r.RequestID, Version: r.Version, Prefix: r.Prefix,
	})
	if err != nil || len(r.unknownFields) == 0 && r.rawMessages == nil {
		return known, err
	}
	var knownFields map[string]json.RawMessage
	if err := json.Unmarshal(known, &knownFields); err != nil {
		return nil, err
	}
	merged := make(map[string]json.RawMessage, len(r.unknownFields)+len(knownFields))
	for name, value := range r.unknownFields {
		merged[name] = value
	}
	for name, value := range knownFields {
		merged[name] = value
	}
	// A message may hold fields that Message lacks, so the caller's bytes replace the encoded messages.
	if r.rawMessages != nil {
		merged["messages"] = r.rawMessages
	}
	return json.Marshal(merged)
}

// AnswerTokenLimit returns the maximum number of tokens of the answer: MaxTokens, or a default of 256 if it is 0.
func (r ChatRequest) AnswerTokenLimit() int {
	if r.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return r.MaxTokens
}

// PromptTokens estimates the number of tokens of the prompt from the length of its messages.
func (r ChatRequest) PromptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)/bytesPerToken + 1
	}
	return n
}

// HasEarlierAnswer reports whether the prompt holds an earlier answer of the chat, that is, a message of the assistant.
func (r ChatRequest) HasEarlierAnswer() bool {
	for _, m := range r.Messages {
		if m.Role == "assistant" {
			return true
		}
	}
	return false
}

// Cost estimates the work of the request in tokens: the prompt and the longest answer allowed.
func (r ChatRequest) Cost() float64 {
	return float64(r.PromptTokens() + r.AnswerTokenLimit())
}

// Fingerprint returns a hash of the request's organisation, model and messages, which is the same in every process.
func (r ChatRequest) Fingerprint(organisation string) uint64 {
	d := xxhash.New()
	writeField := func(s string) {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	writeField(organisation)
	writeField(r.Model)
	for _, m := range r.Messages {
		writeField(m.Role)
		writeField(m.Content)
	}
	return d.Sum64()
}

// ChatKey returns the routing key of a chat: a hash of its identifier if the caller gives one, and otherwise of its
// messages up to the first one of the user. These messages stay the same from turn to turn, so all turns share a key.
func (r ChatRequest) ChatKey(organisation, chat string) uint64 {
	if chat != "" {
		return xxhash.Sum64String(organisation + "\x00" + chat)
	}
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	for _, m := range r.Messages {
		_, _ = d.WriteString("\x00" + m.Role + "\x00" + m.Content)
		if m.Role == "user" {
			break
		}
	}
	return d.Sum64()
}

// Chunk is one event of a streamed answer in the chat-completions format.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer; a streamed event sets Delta, an answer sent in one piece sets Message.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail holds the number of prompt tokens that came from the engine's cache.
type PromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// Text returns the text that the chunk adds to the first choice of the answer; it may be empty.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 || c.Choices[0].Delta == nil {
		return ""
	}
	return c.Choices[0].Delta.Content
}
