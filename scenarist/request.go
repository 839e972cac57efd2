package scenarist

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"clementineramp/judge"
)

// find returns the chat, order or load that the script started under a name.
func find[T any](list map[string]T, name string) (T, error) {
	v, ok := list[name]
	if !ok {
		return v, fmt.Errorf("%q was not started", name)
	}
	return v, nil
}

// model returns the model of the only pool of the sheet.
func (s *scenario) model() (string, error) {
	for _, m := range s.fleet.models {
		return m, nil
	}
	return "", errors.New("the sheet has no pool")
}

func runChat(s *scenario, ts *testscript.TestScript, args []string) error {
	o := parseOptions(args[2:], "rank", "tokens", "text")
	model, err := s.model()
	if err != nil {
		return err
	}
	c := newChat(ts.Getenv("KEY"), model, o.text("text", args[0]), o.number("tokens", 20))
	if err := o.err(); err != nil {
		return err
	}
	address, err := s.routerAddress(args[1])
	if err != nil {
		return err
	}
	s.chats[args[0]] = c
	c.start(func() error { return c.send(address, rankHeader(o.text("rank", ""))) })
	return nil
}

func runGot(s *scenario, _ *testscript.TestScript, args []string) error {
	c, err := find(s.chats, args[0])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return await(func() error {
		ended := isClosed(c.ended)
		events, _ := c.progress()
		switch {
		case events >= want:
			return nil
		case ended:
			return permanentError{fmt.Errorf("the chat ended after %d events: %w", events, cmp.Or(c.err, errComplete))}
		}
		return fmt.Errorf("%d events", events)
	})
}

// errComplete stands for a complete response where an error is needed.
var errComplete = errors.New("the response was complete")

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func runServedBy(s *scenario, ts *testscript.TestScript, args []string) error {
	c, err := find(s.chats, args[1])
	if err != nil {
		return err
	}
	_, last := c.progress()
	stream, _, _ := strings.Cut(last, ":")
	parts := strings.Split(stream, ".")
	if len(parts) != 3 {
		return fmt.Errorf("stream %q: want agent.incarnation.serial", stream)
	}
	ts.Setenv(args[0], parts[0])
	return nil
}

func runWhole(s *scenario, _ *testscript.TestScript, args []string) error {
	c, err := find(s.chats, args[0])
	if err != nil {
		return err
	}
	<-c.ended
	if c.err != nil {
		return c.err
	}
	versions := s.publishedVersions()
	if len(args) > 1 {
		versions = args[1:]
	}
	return c.checkComplete(versions)
}

func runCut(s *scenario, _ *testscript.TestScript, args []string) error {
	c, err := find(s.chats, args[0])
	if err != nil {
		return err
	}
	<-c.ended
	if c.err == nil {
		return errComplete
	}
	return nil
}

func runResume(s *scenario, _ *testscript.TestScript, args []string) error {
	c, err := find(s.chats, args[0])
	if err != nil {
		return err
	}
	if !isClosed(c.ended) {
		return errors.New("the chat has not ended")
	}
	address, err := s.routerAddress(args[1])
	if err == nil {
		c.resume(address)
	}
	return err
}

func runTicket(s *scenario, ts *testscript.TestScript, args []string) error {
	address, err := s.routerAddress(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ticket, err := newCaller(ts.Getenv("KEY")).Ticket(ctx, address, args[2])
	if err == nil {
		ts.Setenv(args[0], ticket)
	}
	return err
}

func runOrder(s *scenario, ts *testscript.TestScript, args []string) error {
	address, err := s.routerAddress(args[1])
	if err != nil {
		return err
	}
	key := args[3]
	if key == "-" {
		key = ""
	}
	o := parseOptions(args[5:], "deadline")
	deadline := o.time("deadline", callTimeout)
	if err := o.err(); err != nil {
		return err
	}
	s.orders[args[0]] = sendOrder(newCaller(ts.Getenv("KEY")), address, args[2], key, args[4], deadline)
	return nil
}

func runAnswered(s *scenario, _ *testscript.TestScript, args []string) error {
	answer := ""
	for i, name := range args {
		o, err := find(s.orders, name)
		if err != nil {
			return err
		}
		<-o.ended
		if o.err != nil {
			return fmt.Errorf("%s: %w", name, o.err)
		}
		if i > 0 && o.answer != answer {
			return fmt.Errorf("responses differ: %s got %s, but %s got %s", args[0], answer, name, o.answer)
		}
		answer = o.answer
	}
	return nil
}

func runRefused(s *scenario, _ *testscript.TestScript, args []string) error {
	o, err := find(s.orders, args[0])
	if err != nil {
		return err
	}
	verdict, err := parseVerdict(args[1])
	if err != nil {
		return err
	}
	<-o.ended
	return checkRefusal(o.err, verdict, strings.Join(args[2:], ""))
}

func runTruthful(s *scenario, _ *testscript.TestScript, args []string) error {
	for _, name := range args[1:] {
		o, err := find(s.orders, name)
		if err != nil {
			return err
		}
		<-o.ended
		// The records are read again after each response, because the order may run until then.
		ran, err := s.executions(args[0])
		if err != nil {
			return err
		}
		n := ran[o.body]
		if n > 1 || o.err == nil && n != 1 || o.err != nil && judge.VerdictOf(o.err) == judge.NotRun && n != 0 {
			return fmt.Errorf("%s ran %d times: %w", name, n, cmp.Or(o.err, errComplete))
		}
	}
	return nil
}

func runLoad(s *scenario, ts *testscript.TestScript, args []string) error {
	o := parseOptions(args[1:], "rank", "chats", "orders", "service", "tokens", "refusals")
	model, err := s.model()
	if err != nil {
		return err
	}
	cfg := loadOptions{
		key: ts.Getenv("KEY"), rank: o.text("rank", ""), model: model, service: o.text("service", ""),
		chats: o.number("chats", 4), orders: o.number("orders", 0), tokens: o.number("tokens", 10),
		countRefusals: o.text("refusals", "fail") == "count",
	}
	if err := o.err(); err != nil {
		return err
	}
	s.loads[args[0]] = s.startLoad(args[0], cfg)
	return nil
}

func runProgress(s *scenario, _ *testscript.TestScript, args []string) error {
	l, err := find(s.loads, args[0])
	if err != nil {
		return err
	}
	more, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	before, err := l.count()
	if err != nil {
		return err
	}
	return await(func() error {
		now, err := l.count()
		if err != nil {
			return permanentError{err}
		}
		if now < before+more {
			return fmt.Errorf("%d more responses", now-before)
		}
		return nil
	})
}

func runUnload(s *scenario, ts *testscript.TestScript, args []string) error {
	l, err := find(s.loads, args[0])
	if err != nil {
		return err
	}
	err = l.finish()
	ts.Logf("%s: %d answered, %d refused", args[0], l.answered, l.refused)
	return err
}
