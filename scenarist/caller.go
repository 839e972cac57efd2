package scenarist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"clementineramp/caller"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/standin"
)

// seed is the seed of all chats. With a fixed seed the caller can compute the expected answer of each chat.
const seed = 7

// callTimeout bounds each request of a caller.
const callTimeout = 50 * time.Second

// get returns the response body of a GET request; any status but 200 is an error.
func get(url string) ([]byte, error) {
	resp, err := operatorClient.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", url, resp.Status)
	}
	return io.ReadAll(resp.Body)
}

// loadBalancer stands for the platform's load balancer in front of the routers: it distributes requests round-robin
// over the routers that are ready.
type loadBalancer struct {
	mu   sync.Mutex
	next int
}

// routerAddress returns the address of the router with a name, or for the name routers that of the next ready router.
func (s *scenario) routerAddress(name string) (string, error) {
	if name != "routers" {
		p, err := s.fleet.process(name)
		if err != nil {
			return "", err
		}
		return p.address, nil
	}
	list, err := s.fleet.lookup(name)
	if err != nil {
		return "", err
	}
	s.loadBalancer.mu.Lock()
	s.loadBalancer.next++
	from := s.loadBalancer.next
	s.loadBalancer.mu.Unlock()
	address := ""
	err = await(func() error {
		for i := range list {
			p := list[(from+i)%len(list)]
			if checkOK("http://"+p.address+"/v1/ready") == nil {
				address = p.address
				return nil
			}
		}
		return errors.New("no router is ready")
	})
	return address, err
}

// newCaller returns a caller that does not share connections with other callers.
func newCaller(key string) *standin.Caller {
	return &standin.Caller{Key: key, HTTP: &http.Client{Transport: &http.Transport{}}}
}

// chat is a streamed chat of a script with the part of its answer that has arrived.
type chat struct {
	caller  *standin.Caller
	request encoder.ChatRequest

	mu          sync.Mutex
	text        strings.Builder
	lastEventID string
	events      int
	// ended is closed when the answer or the connection ends; err is set before.
	ended chan struct{}
	err   error
}

func newChat(key, model, text string, tokens int) *chat {
	n := int64(seed)
	c := &chat{caller: newCaller(key), request: encoder.ChatRequest{
		Model: model, MaxTokens: tokens, Seed: &n, Messages: []encoder.Message{{Role: "user", Content: text}},
	}}
	c.caller.OnEvent = c.onEvent
	return c
}

func (c *chat) onEvent(ev encoder.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEventID = ev.ID
	if !ev.Done {
		c.events++
		c.text.WriteString(ev.Text)
	}
}

func (c *chat) progress() (events int, last string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events, c.lastEventID
}

// send sends the chat to a router and reads the answer to its end.
func (c *chat) send(address string, header http.Header) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := c.caller.Chat(ctx, address, c.request, header)
	return err
}

// start runs a request of the chat in the background.
func (c *chat) start(exchange func() error) {
	ended := make(chan struct{})
	c.ended = ended
	go func() {
		c.err = exchange()
		close(ended)
	}()
}

// resume reads the rest of the answer through a router.
func (c *chat) resume(address string) {
	_, last := c.progress()
	c.start(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := c.caller.Resume(ctx, address, last)
		return err
	})
}

// checkComplete returns nil if the answer is the complete answer of one of the model versions.
func (c *chat) checkComplete(versions []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range versions {
		if c.text.String() == standin.Answer(c.request, v) {
			return nil
		}
	}
	return fmt.Errorf("answer is not the complete answer of one of the versions %q: %d events, %q", versions, c.events, c.text.String())
}

// order is an order of a script; answer and err are set when ended is closed.
type order struct {
	body   string
	ended  chan struct{}
	answer string
	err    error
}

func sendOrder(c *standin.Caller, address, service, key, body string, deadline time.Duration) *order {
	o := &order{body: body, ended: make(chan struct{})}
	c.Header = http.Header{caller.DeadlineHeader: {strconv.FormatInt(deadline.Milliseconds(), 10)}}
	go func() {
		defer close(o.ended)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		o.answer, o.err = c.Order(ctx, address, service, "/orders", key, []byte(body))
	}()
	return o
}

// rankHeader returns the header that names a rank, or nil for the empty rank.
func rankHeader(rank string) http.Header {
	if rank == "" {
		return nil
	}
	return http.Header{caller.RankHeader: {rank}}
}

// checkRefusal checks that err has a verdict and, unless code is empty, this reason code.
func checkRefusal(err error, verdict judge.Verdict, code string) error {
	if err == nil {
		return errors.New("the order succeeded")
	}
	var judged *judge.Error
	if !errors.As(err, &judged) {
		return fmt.Errorf("error has no verdict: %w", err)
	}
	if judged.Verdict != verdict || code != "" && string(judged.Reason) != code {
		return fmt.Errorf("want %v %s, got %w", verdict, code, err)
	}
	return nil
}
