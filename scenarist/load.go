package scenarist

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"clementineramp/judge"
	"clementineramp/standin"
)

// maxShownFailures is the number of failed requests that the error of a load lists.
const maxShownFailures = 5

// maxOrderAttempts bounds the attempts with new tickets after the verdict "not run", and the attempts with the same
// ticket after "may have run".
const maxOrderAttempts = 8

// loadOptions are the arguments of the command load.
type loadOptions struct {
	key, rank, model, service string
	chats, orders, tokens     int
	countRefusals             bool
}

// load is a set of callers that each send one request after the other until stop is called.
type load struct {
	scenario *scenario
	options  loadOptions
	versions func() []string
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	answered int
	refused  int
	// bodies holds the bodies of the orders that succeeded.
	bodies   []string
	failures []string
}

func (s *scenario) startLoad(name string, o loadOptions) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{scenario: s, options: o, stop: cancel, versions: s.publishedVersions}
	for i := range o.chats {
		l.wg.Go(func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				l.record(ctx, l.chat(fmt.Sprintf("%s: chat %d, turn %d", name, i, turn)))
			}
		})
	}
	for i := range o.orders {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.record(ctx, l.placeOrder(fmt.Sprintf("%s: order %d of caller %d", name, n, i)))
			}
		})
	}
	return l
}

// record counts the outcome of a request; after a counted refusal it waits for the "retry after" delay.
func (l *load) record(ctx context.Context, err error) {
	l.mu.Lock()
	refused := err != nil && l.options.countRefusals && judge.VerdictOf(err) == judge.NotRun
	switch {
	case err == nil:
		l.answered++
	case refused:
		l.refused++
	default:
		l.failures = append(l.failures, err.Error())
	}
	l.mu.Unlock()
	if refused {
		waitRetryAfter(ctx, err)
	}
}

// waitRetryAfter waits for the "retry after" delay of a refusal.
func waitRetryAfter(ctx context.Context, err error) {
	var judged *judge.Error
	if !errors.As(err, &judged) {
		return
	}
	t := time.NewTimer(judged.RetryAfter)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// count returns the number of requests that have succeeded, and an error if a request has failed.
func (l *load) count() (answered int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) > 0 {
		shown := l.failures[:min(len(l.failures), maxShownFailures)]
		err = fmt.Errorf("%d requests failed, %d succeeded:\n%s", len(l.failures), l.answered, strings.Join(shown, "\n"))
	}
	return l.answered, err
}

func (l *load) chat(text string) error {
	address, err := l.scenario.routerAddress("routers")
	if err != nil {
		return err
	}
	c := newChat(l.options.key, l.options.model, text, l.options.tokens)
	defer c.caller.HTTP.CloseIdleConnections()
	if err := c.send(address, rankHeader(l.options.rank)); err != nil {
		return fmt.Errorf("%s through %s: %w", text, address, err)
	}
	return c.checkComplete(l.versions())
}

// placeOrder places one order; after the verdict "not run" it retries with a new ticket.
func (l *load) placeOrder(body string) error {
	var err error
	for range maxOrderAttempts {
		if err = l.placeWithNewTicket(body); err == nil || judge.VerdictOf(err) != judge.NotRun {
			return err
		}
	}
	return err
}

func (l *load) placeWithNewTicket(body string) error {
	address, err := l.scenario.routerAddress("routers")
	if err != nil {
		return err
	}
	c := newCaller(l.options.key)
	defer c.HTTP.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ticket, err := c.Ticket(ctx, address, l.options.service)
	if err != nil {
		return fmt.Errorf("ticket for %s through %s: %w", body, address, err)
	}
	if err := l.placeWithTicket(ctx, c, ticket, body); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bodies = append(l.bodies, body)
	return nil
}

// placeWithTicket sends an order with its ticket, and retries with the same ticket after "may have run": only the agent
// that issued the ticket has the record of the order, and a router that is leaving or has just started cannot query it.
func (l *load) placeWithTicket(ctx context.Context, c *standin.Caller, ticket, body string) error {
	var err error
	for range maxOrderAttempts {
		var address string
		if address, err = l.scenario.routerAddress("routers"); err != nil {
			return err
		}
		if _, err = c.Order(ctx, address, l.options.service, "/orders", ticket, []byte(body)); err == nil {
			return nil
		}
		err = fmt.Errorf("%s through %s: %w", body, address, err)
		if judge.VerdictOf(err) != judge.MayHaveRun {
			return err
		}
	}
	return err
}

// finish stops the load and checks that each order that succeeded ran exactly once.
func (l *load) finish() error {
	l.stop()
	l.wg.Wait()
	answered, err := l.count()
	if err != nil {
		return err
	}
	if answered == 0 {
		return errors.New("no request succeeded")
	}
	if len(l.bodies) == 0 {
		return nil
	}
	ran, err := l.scenario.executions(l.options.service)
	if err != nil {
		return err
	}
	for _, body := range l.bodies {
		if ran[body] != 1 {
			return fmt.Errorf("%s succeeded but ran %d times, want 1", body, ran[body])
		}
	}
	return nil
}
