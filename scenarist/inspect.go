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

// clearance is the time after the limit of no-new-work for which other agents must have got work.
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

// decode reads a JSON value from an address of a process.
func getJSON[T any](url string) (T, error) {
	var v T
	data, err := get(url)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	return v, err
}

// field returns a field of the status of a process, such as configuration.version, as JSON.
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

// awaitStatus waits until a field matches at each process.
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

// awaitLog waits for a line in the log of each process.
func (s *scenario) awaitLog(name, expression string) error {
	re, err := regexp.Compile("(?m)" + expression)
	if err != nil {
		return err
	}
	return s.awaitEach(name, expression, func(p *process) error {
		if !re.MatchString(p.Log.String()) {
			return errors.New("no such line in the log")
		}
		return nil
	})
}

// awaitLogOfOne waits for a line in the log of one of the processes.
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
		return fmt.Errorf("no line in the logs of %s", name)
	})
}

// each waits for a condition of each process that a word stands for.
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

// awaitAgreement waits until a field has one value at all processes.
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

// executions returns how often each order ran, over all workers of a service.
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

// checkExecutions checks that a number of orders ran, each of them once.
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

// awaitLoaded waits until each engine of a pool has a version ready.
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

// newestRun returns when the last run of an engine began.
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

// noNewWork waits until other engines of the pool got work well after a time limit from the leaving of an agent, and
// checks that the agent's engine got none after the limit.
func (s *scenario) checkNoNewWork(agent string, limit time.Duration) error {
	leavingSince, ok := s.fleet.leavingSince[agent]
	if !ok {
		return fmt.Errorf("%s is not leaving", agent)
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
		err := p.await("work after the leaving", func() error {
			latest, err := latestRunStart(p)
			if err == nil && latest.Before(leavingSince.Add(limit+workMargin)) {
				err = errors.New("no work yet")
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	latest, err := latestRunStart(upstream)
	if err == nil && latest.After(leavingSince.Add(limit)) {
		err = fmt.Errorf("%s got work %v after it was listed as leaving", agent, latest.Sub(leavingSince))
	}
	return err
}
