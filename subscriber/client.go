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

	"clementineramp/connector"
	"clementineramp/encoder"

	"github.com/gravitational/trace"
)

const (
	// RevisionHeader is the name of the response header that carries the revision.
	RevisionHeader = "Revision"
	// MaxValueBytes is the size of the largest value that the platform holds.
	MaxValueBytes = 1 << 20

	defaultTimeout = 2 * time.Second
	// watchTimeout ends a watch to which the platform does not respond, for example because its process is frozen.
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

// Value is a value of the configuration service, with the revision at which it was last changed.
type Value struct {
	Key      string
	Revision uint64
	Data     []byte
}

// Config holds the settings of a Client.
type Config struct {
	// Addresses lists the platform's addresses, each an IP address and port. If one fails, the next one is tried.
	Addresses []string
	// HTTP is the client for requests; nil means a new one that uses no proxy.
	HTTP *http.Client
	// Timeout limits a read from one address; zero means 2 s.
	Timeout time.Duration
	// Count is called with the estimated bytes of each request and of each response, headers included; nil counts
	// nothing.
	Count func(sent, received int)
}

// Client reads and watches the platform and is safe for concurrent use.
type Client struct {
	cfg Config
	// current is the index of the address that responded last.
	current atomic.Int64
}

// New returns a Client with defaults for unset fields of cfg. It opens no connection.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{IdleConnTimeout: 2 * watchTimeout, MaxResponseHeaderBytes: encoder.MaxHeadBytes}}
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Count == nil {
		cfg.Count = func(int, int) {}
	}
	return &Client{cfg: cfg}
}

// Value reads a value. It returns a trace.NotFound error for a missing one, a trace.LimitExceeded error if the platform
// refuses the read because of load, and a trace.ConnectionProblem error if no address responds as expected.
func (c *Client) Value(ctx context.Context, key string) (Value, error) {
	data, revision, err := c.get(ctx, valuePath(key), c.cfg.Timeout)
	return Value{Key: key, Revision: revision, Data: data}, err
}

// WatchValue waits until the value's revision is higher than after, and returns the value. It returns the unchanged
// value when the platform's time limit ends.
func (c *Client) WatchValue(ctx context.Context, key string, after uint64) (Value, error) {
	data, revision, err := c.get(ctx, valuePath(key)+watchQuery(after), watchTimeout)
	return Value{Key: key, Revision: revision, Data: data}, err
}

// Hosts reads the list of hosts, with the same errors as Value. An invalid list is a trace.BadParameter error.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	return c.hosts(ctx, hostsPath, c.cfg.Timeout)
}

// ErrUnchanged is returned by a watch that ended without a change at the platform's time limit, if the platform
// responds with status 304 instead of sending the complete list again, which is 144 KB at 1,020 hosts.
var ErrUnchanged = errors.New("platform: unchanged")

// WatchHosts waits until the list's revision is higher than after, and returns the list. When the platform's time limit
// ends, it returns ErrUnchanged or the unchanged list, depending on the platform's response.
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

// get tries each address once, starting with the one that responded last.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, uint64, error) {
	n := int64(len(c.cfg.Addresses))
	if n == 0 {
		return nil, 0, trace.BadParameter("platform: no address is configured")
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
		// Another address would give the same response, and a request to it would add load to a platform that refuses
		// reads because of load.
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
	if err := connector.CheckHead(resp); err != nil {
		return nil, 0, trace.ConnectionProblem(err, "platform: GET %s", path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	c.cfg.Count(0, responseBytes(resp, len(data)))
	if err != nil {
		return nil, 0, trace.ConnectionProblem(err, "platform: read response to GET %s", path)
	}
	if len(data) > MaxValueBytes {
		return nil, 0, trace.BadParameter("platform: GET %s: response is larger than %d bytes", path, MaxValueBytes)
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

// responseBytes estimates the size of a response without its transfer encoding.
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
