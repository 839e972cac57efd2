package scenarist

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"clementineramp/engine"
	"clementineramp/standin"
)

// workMargin is the time after the limit of no-new-work at which the other engines must still receive work.
const workMargin = time.Second

func (s *scenario) publishedVersions() []string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var list []string
	for v := range s.fleet.versions {
		list = append(list, v)
	}
	slices.Sort(list)
	return list
}

// getJSON returns the JSON value that a GET request yields.
func getJSON[T any](url string) (T, error) {
	var v T
	data, err := get(url)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	return v, err
}

// statusField returns a field of the status of a process, such as configuration.version, as JSON; it is empty if the
// status has no such field.
func statusField(p *process, fieldPath string) (string, error) {
	data, err := get("http://" + p.operatorAddress + "/status")
	if err != nil {
		return "", err
	}
	for name := range strings.SplitSeq(fieldPath, ".") {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(data, &object); err != nil {
			return "", err
		}
		data = object[name]
	}
	return string(data), nil
}

// awaitStatus waits until a status field of each process matches a regular expression.
func (s *scenario) awaitStatus(name, fieldPath, expression string) error {
	re, err := regexp.Compile(expression)
	if err != nil {
		return err
	}
	return s.awaitEach(name, fieldPath+" "+expression, func(p *process) error {
		value, err := statusField(p, fieldPath)
		if err == nil && !re.MatchString(value) {
			err = fmt.Errorf("%s is %s", fieldPath, value)
		}
		return err
	})
}

// awaitLog waits until the log of each process matches a regular expression.
func (s *scenario) awaitLog(name, expression string) error {
	re, err := regexp.Compile("(?m)" + expression)
	if err != nil {
		return err
	}
	return s.awaitEach(name, expression, func(p *process) error {
		if !re.MatchString(p.Log.String()) {
			return errors.New("no matching line in the log")
		}
		return nil
	})
}

// awaitLogOfOne waits until the log of at least one of the processes matches a regular expression.
func (s *scenario) awaitLogOfOne(name, expression string) error {
	re, err := regexp.Compile("(?m)" + expression)
	if err != nil {
		return err
	}
	list, err := s.fleet.lookup(name)
	if err != nil {
		return err
	}
	return await(func() error {
		for _, p := range list {
			if re.MatchString(p.Log.String()) {
				return nil
			}
		}
		return fmt.Errorf("no matching line in the logs of %s", name)
	})
}

// awaitEach waits for a condition of each process that a name or group stands for.
func (s *scenario) awaitEach(name, what string, condition func(*process) error) error {
	list, err := s.fleet.lookup(name)
	if err != nil {
		return err
	}
	for _, p := range list {
		if err := p.await(what, func() error { return condition(p) }); err != nil {
			return err
		}
	}
	return nil
}

// awaitAgreement waits until a status field has the same value in all processes.
func (s *scenario) awaitAgreement(name, fieldPath string) error {
	list, err := s.fleet.lookup(name)
	if err != nil {
		return err
	}
	return await(func() error {
		values := map[string]string{}
		for _, p := range list {
			v, err := statusField(p, fieldPath)
			if err != nil {
				return err
			}
			values[v] = p.Name
		}
		if len(values) != 1 {
			return fmt.Errorf("%s differs: %v", fieldPath, values)
		}
		return nil
	})
}

// executions returns how often each order ran, by the body of the order, over all workers of a service.
func (s *scenario) executions(service string) (map[string]int, error) {
	list, err := s.fleet.upstreams(service)
	if err != nil {
		return nil, err
	}
	ran := map[string]int{}
	for _, p := range list {
		r, err := getJSON[standin.ServiceRecords]("http://" + p.address + standin.RecordsPath)
		if err != nil {
			return nil, err
		}
		for _, x := range r.Executions {
			ran[x.Body]++
		}
	}
	return ran, nil
}

// checkExecutions checks that exactly want orders ran, each of them once.
func (s *scenario) checkExecutions(service string, want int) error {
	ran, err := s.executions(service)
	if err != nil {
		return err
	}
	for body, n := range ran {
		if n > 1 {
			return permanentError{fmt.Errorf("%s ran %d times", body, n)}
		}
	}
	if len(ran) != want {
		return fmt.Errorf("%d orders ran, want %d", len(ran), want)
	}
	return nil
}

// awaitLoaded waits until each engine of a pool is ready with a model version.
func (s *scenario) awaitLoaded(pool, version string) error {
	list, err := s.fleet.upstreams(pool)
	if err != nil {
		return err
	}
	for _, p := range list {
		err := p.await("version "+version, func() error {
			status, err := getJSON[engine.Status]("http://" + p.address + "/v1/status")
			if err == nil && (status.Version != version || !status.Ready) {
				err = fmt.Errorf("version %s, ready %t", status.Version, status.Ready)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// latestRunStart returns the start of the latest run of an engine; it is the zero time if there was none.
func latestRunStart(p *process) (time.Time, error) {
	r, err := getJSON[standin.EngineRecords]("http://" + p.address + standin.RecordsPath)
	var latest time.Time
	for _, run := range r.Runs {
		if run.Started.After(latest) {
			latest = run.Started
		}
	}
	return latest, err
}

// checkNoNewWork waits until each other engine of the pool has started a request at least limit+workMargin after the
// agent was listed as leaving, and checks that the agent's engine started none after limit.
func (s *scenario) checkNoNewWork(agent string, limit time.Duration) error {
	leavingSince, ok := s.fleet.leavingSince[agent]
	if !ok {
		return fmt.Errorf("%s was not listed as leaving", agent)
	}
	upstream, err := s.fleet.process(agent + ".upstream")
	if err != nil {
		return err
	}
	list, err := s.fleet.upstreams(upstream.pool)
	if err != nil {
		return err
	}
	for _, p := range list {
		if p == upstream {
			continue
		}
		err := p.await("work after the agent was listed as leaving", func() error {
			latest, err := latestRunStart(p)
			if err == nil && latest.Before(leavingSince.Add(limit+workMargin)) {
				err = errors.New("no work after the limit yet")
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	latest, err := latestRunStart(upstream)
	if err == nil && latest.After(leavingSince.Add(limit)) {
		err = fmt.Errorf("%s received work %v after it was listed as leaving", agent, latest.Sub(leavingSince))
	}
	return err
}
