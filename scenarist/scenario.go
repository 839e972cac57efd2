package scenarist

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"clementineramp/judge"
)

// scenario is the state of one script.
type scenario struct {
	fleet        *fleet
	loadBalancer loadBalancer
	chats        map[string]*chat
	orders       map[string]*order
	loads        map[string]*load
}

type scenarioKey struct{}

// scriptCount is the number of scripts that this process has set up; each script has its own loopback address.
var scriptCount atomic.Int32

// Setup prepares a script and registers its clean-up. The loopback address of the script depends on pid, so that test
// processes that run at the same time do not share one. The error is always nil.
func Setup(env *testscript.Env, pid int) error {
	n := int(scriptCount.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", 128+n%64, pid>>8&255, pid&255)
	s := &scenario{
		fleet: newFleet(env.WorkDir, ip),
		chats: map[string]*chat{}, orders: map[string]*order{}, loads: map[string]*load{},
	}
	env.Values[scenarioKey{}] = s
	env.Defer(s.cleanUp)
	return nil
}

// cleanUp stops the loads and processes of a script, and saves the logs.
func (s *scenario) cleanUp() {
	for _, l := range s.loads {
		l.stop()
	}
	for _, p := range s.fleet.processes {
		p.Kill()
	}
	for _, l := range s.loads {
		l.wg.Wait()
	}
	s.fleet.saveLogs()
}

// command is the implementation of a script command; an error fails the script.
type command func(s *scenario, ts *testscript.TestScript, args []string) error

// commands lists the script commands; args is the minimum number of arguments.
var commands = []struct {
	name string
	args int
	run  command
}{
	{"fleet", 0, runFleet},
	{"example", 1, func(s *scenario, ts *testscript.TestScript, args []string) error {
		return s.fleet.loadExample(filepath.Join(ts.Getenv("EXAMPLES"), args[0]))
	}},
	{"start", 1, func(s *scenario, _ *testscript.TestScript, args []string) error { return s.start(args, true) }},
	{"begin", 1, func(s *scenario, _ *testscript.TestScript, args []string) error { return s.start(args, false) }},
	{"signal", 2, runSignal},
	{"exited", 1, runExited},
	{"restart", 1, runRestart},
	{"publish", 1, func(s *scenario, _ *testscript.TestScript, args []string) error { return s.fleet.publish(args[0]) }},
	{"publish-part", 3, runPublishPart},
	{"leave", 1, func(s *scenario, _ *testscript.TestScript, args []string) error { return s.fleet.markLeaving(args[0]) }},
	{"chat", 2, runChat},
	{"got", 2, runGot},
	{"served-by", 2, runServedBy},
	{"whole", 1, runWhole},
	{"cut", 1, runCut},
	{"resume", 2, runResume},
	{"ticket", 3, runTicket},
	{"order", 5, runOrder},
	{"answered", 1, runAnswered},
	{"refused", 2, runRefused},
	{"truthful", 2, runTruthful},
	{"load", 1, runLoad},
	{"progress", 2, runProgress},
	{"unload", 1, runUnload},
	{"await", 3, runAwait},
	{"executions", 2, runExecutions},
	{"no-new-work", 2, runNoNewWork},
}

// Commands returns the script commands by name, for testscript.Params. They need a script prepared by Setup; an error
// fails the script.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for _, c := range commands {
		cmds[c.name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if len(args) < c.args {
				ts.Fatalf("%s needs at least %d arguments", c.name, c.args)
			}
			if neg {
				ts.Fatalf("%s cannot be negated", c.name)
			}
			s, ok := ts.Value(scenarioKey{}).(*scenario)
			if !ok {
				ts.Fatalf("script was not prepared by Setup")
			}
			if err := c.run(s, ts, args); err != nil {
				ts.Fatalf("%s %s: %v", c.name, strings.Join(args, " "), err)
			}
		}
	}
	return cmds
}

// options are arguments of the form name=value.
type options struct {
	values map[string]string
	errs   []error
}

func parseOptions(args []string, known ...string) *options {
	o := &options{values: map[string]string{}}
	for _, a := range args {
		name, value, found := strings.Cut(a, "=")
		if !found || !strings.Contains(" "+strings.Join(known, " ")+" ", " "+name+" ") {
			o.errs = append(o.errs, fmt.Errorf("argument %q: want one of %s", a, strings.Join(known, "=, ")+"="))
			continue
		}
		o.values[name] = value
	}
	return o
}

func (o *options) text(name, defaultValue string) string {
	if v, ok := o.values[name]; ok {
		return v
	}
	return defaultValue
}

func (o *options) number(name string, defaultValue int) int {
	n, err := strconv.Atoi(o.text(name, strconv.Itoa(defaultValue)))
	o.errs = append(o.errs, err)
	return n
}

func (o *options) time(name string, defaultValue time.Duration) time.Duration {
	d, err := time.ParseDuration(o.text(name, defaultValue.String()))
	o.errs = append(o.errs, err)
	return d
}

func (o *options) err() error {
	return errors.Join(o.errs...)
}

func runFleet(s *scenario, _ *testscript.TestScript, args []string) error {
	o := parseOptions(args, "routers", "engines", "slots", "token", "load", "grace", "first-byte", "silence", "limit")
	cfg := fleetOptions{
		routers: o.number("routers", 2), engines: o.number("engines", 3), slots: o.number("slots", 4),
		token: o.time("token", 20*time.Millisecond), load: o.time("load", 100*time.Millisecond),
		grace: o.time("grace", 500*time.Millisecond), firstByte: o.time("first-byte", time.Second),
		silence: o.time("silence", 30*time.Second), limit: o.time("limit", waitTimeout),
	}
	if err := o.err(); err != nil {
		return err
	}
	return s.fleet.build(cfg)
}

// start starts processes and, if wait is set, waits until each is ready.
func (s *scenario) start(names []string, wait bool) error {
	list, err := s.fleet.lookupAll(names)
	if err != nil {
		return err
	}
	for _, p := range list {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range list {
		if !wait {
			break
		}
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

func runSignal(s *scenario, _ *testscript.TestScript, args []string) error {
	sig, known := signals[args[0]]
	if !known {
		return fmt.Errorf("unknown signal %q", args[0])
	}
	list, err := s.fleet.lookupAll(args[1:])
	if err != nil {
		return err
	}
	for _, p := range list {
		if err := p.signal(sig); err != nil {
			return err
		}
	}
	return nil
}

func runExited(s *scenario, _ *testscript.TestScript, args []string) error {
	list, err := s.fleet.lookupAll(args)
	if err != nil {
		return err
	}
	for _, p := range list {
		if err := p.awaitExit(); err != nil {
			return err
		}
	}
	return nil
}

func runRestart(s *scenario, _ *testscript.TestScript, args []string) error {
	list, err := s.fleet.lookupAll(args)
	if err != nil {
		return err
	}
	for _, p := range list {
		if err := p.signal(syscall.SIGTERM); err != nil {
			return err
		}
		if err := p.awaitExit(); err != nil {
			return err
		}
		if err := s.start([]string{p.Name}, true); err != nil {
			return err
		}
	}
	return nil
}

func runPublishPart(s *scenario, _ *testscript.TestScript, args []string) error {
	version, err := strconv.ParseUint(args[2], 10, 64)
	if err != nil {
		return err
	}
	return s.fleet.publishPart(args[0], args[1], version)
}

func runAwait(s *scenario, _ *testscript.TestScript, args []string) error {
	switch {
	case args[0] == "status" && len(args) == 4:
		return s.awaitStatus(args[1], args[2], args[3])
	case args[0] == "agree" && len(args) == 3:
		return s.awaitAgreement(args[1], args[2])
	case args[0] == "log" && len(args) == 3:
		return s.awaitLog(args[1], args[2])
	case args[0] == "log-of-one" && len(args) == 3:
		return s.awaitLogOfOne(args[1], args[2])
	case args[0] == "loaded" && len(args) == 3:
		return s.awaitLoaded(args[1], args[2])
	case args[0] == "executions" && len(args) == 3:
		n, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return await(func() error { return s.checkExecutions(args[1], n) })
	}
	return errors.New("unknown condition or wrong number of arguments")
}

func runExecutions(s *scenario, _ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return s.checkExecutions(args[0], n)
}

func runNoNewWork(s *scenario, _ *testscript.TestScript, args []string) error {
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return s.checkNoNewWork(args[0], limit)
}

// parseVerdict parses the name of a verdict, such as not_run.
func parseVerdict(name string) (judge.Verdict, error) {
	var v judge.Verdict
	err := v.UnmarshalText([]byte(name))
	return v, err
}
