package subscriber

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// RevisionHeader carries the revision of an answer.
	RevisionHeader = "Revision"
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20

	defaultTimeout = 2 * time.Second
	// watchTimeout ends a watch that the platform neither answers nor closes, for example because its process is frozen.
	watchTimeout = 60 * time.Second

	valuesPath = "/v1/values/"
	hostsPath  = "/v1/hosts"

	// requestOverhead is the size of the request line's fixed text and of the headers that net/http adds, in bytes.
	requestOverhead = 80
	// responseOverhead is the size of a status line with the Date header, in bytes.
	responseOverhead = 56
	// headerOverhead is the size of the separators of one header line, in bytes.
	headerOverhead = 4
)

// Value is one value of the configuration service.
type Value struct {
	Key      string
	Revision uint64
	Data     []byte
}

// Config holds the settings of a Client.
type Config struct {
	// Addresses lists the platform's addresses as IP number and port; the next one is tried when one fails.
	Addresses []string
	// HTTP is the client for requests; nil means one of its own without a proxy.
	HTTP *http.Client
	// Timeout bounds a read at one address; zero means 2 s.
	Timeout time.Duration
	// Count is told the bytes of each request and answer; nil counts nothing.
	Count func(sent, received int)
}

// Client reads and watches the platform and is safe for concurrent use.
type Client struct {
	cfg Config
	// current is the index of the address that answered last.
	current atomic.Int64
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{IdleConnTimeout: 2 * watchTimeout}}
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Count == nil {
		cfg.Count = func(int, int) {}
	}
	return &Client{cfg: cfg}
}

// Value reads a value; a missing one is a trace.NotFound error, and a refusal for load a trace.LimitExceeded error.
func (c *Client) Value(ctx context.Context, key string) (Value, error) {
	data, revision, err := c.get(ctx, valuePath(key), c.cfg.Timeout)
	return Value{Key: key, Revision: revision, Data: data}, err
}

// WatchValue waits until the value's revision is above after, and returns the unchanged value when the platform's time limit ends.
func (c *Client) WatchValue(ctx context.Context, key string, after uint64) (Value, error) {
	data, revision, err := c.get(ctx, valuePath(key)+watchQuery(after), watchTimeout)
	return Value{Key: key, Revision: revision, Data: data}, err
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	return c.hosts(ctx, hostsPath, c.cfg.Timeout)
}

// ErrUnchanged is returned by a watch whose time limit at the platform ended without a change, if the platform says so
// with status 304 instead of sending the whole list again: 144 KB at 1,020 hosts.
var ErrUnchanged = errors.New("platform: unchanged")

// WatchHosts waits until the list's revision is above after; when the platform's time limit ends before, it returns
// ErrUnchanged or the unchanged list, as the platform answers.
func (c *Client) WatchHosts(ctx context.Context, after uint64) (HostList, error) {
	return c.hosts(ctx, hostsPath+watchQuery(after), watchTimeout)
}

func (c *Client) hosts(ctx context.Context, path string, timeout time.Duration) (HostList, error) {
	data, revision, err := c.get(ctx, path, timeout)
	if err != nil {
		return HostList{}, err
	}
	list, err := DecodeHostList(data)
	if err != nil {
		return HostList{}, trace.BadParameter("platform: %v", err)
	}
	list.Revision = revision
	return list, nil
}

func valuePath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return valuesPath + strings.Join(parts, "/")
}

func watchQuery(after uint64) string {
	return "?watch=" + strconv.FormatUint(after, 10)
}

// get asks each address once, beginning with the one that answered last.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, uint64, error) {
	n := int64(len(c.cfg.Addresses))
	if n == 0 {
		return nil, 0, trace.BadParameter("platform: no address is set")
	}
	first := c.current.Load()
	var lastErr error
	for i := range n {
		at := (first + i) % n
		data, revision, err := c.getFrom(ctx, c.cfg.Addresses[at], path, timeout)
		if err == nil {
			c.current.Store(at)
			return data, revision, nil
		}
		lastErr = err
		// Another address would give the same answer, and asking it adds to the load that a limited platform refused.
		if !trace.IsConnectionProblem(err) || ctx.Err() != nil {
			return nil, 0, err
		}
	}
	return nil, 0, lastErr
}

func (c *Client) getFrom(ctx context.Context, address, path string, timeout time.Duration) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, 0, trace.BadParameter("platform: %v", err)
	}
	c.cfg.Count(requestOverhead+len(path)+len(address), 0)
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, 0, trace.ConnectionProblem(err, "platform: GET %s", path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	c.cfg.Count(0, responseBytes(resp, len(data)))
	if err != nil {
		return nil, 0, trace.ConnectionProblem(err, "platform: read answer of GET %s", path)
	}
	if len(data) > MaxValueBytes {
		return nil, 0, trace.BadParameter("platform: GET %s: answer is larger than %d bytes", path, MaxValueBytes)
	}
	return decodeResponse(resp, path, data)
}

func decodeResponse(resp *http.Response, path string, data []byte) ([]byte, uint64, error) {
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, 0, trace.NotFound("platform: GET %s: no such value", path)
	case resp.StatusCode == http.StatusNotModified:
		return nil, 0, ErrUnchanged
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, 0, trace.LimitExceeded("platform: GET %s: too many reads", path)
	case resp.StatusCode != http.StatusOK:
		return nil, 0, trace.ConnectionProblem(nil, "platform: GET %s: status %d", path, resp.StatusCode)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, 0, trace.BadParameter("platform: GET %s: header %s is %q, want a number", path, RevisionHeader, resp.Header.Get(RevisionHeader))
	}
	return data, revision, nil
}

// responseBytes counts the bytes of an answer without its transfer encoding.
func responseBytes(resp *http.Response, body int) int {
	n := responseOverhead + body
	for name, values := range resp.Header {
		if name == "Date" {
			continue
		}
		for _, v := range values {
			n += len(name) + len(v) + headerOverhead
		}
	}
	return n
}
