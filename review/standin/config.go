package main

import (
	"errors"
	"strings"
)

var errNothingServed = errors.New("no request was served")

// route returns a route of the configuration; extra fields replace the usual ones.
func route(name, prefix, kind string, timeoutMs, targetMs int, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": clientHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": targetMs,
		"Priority": 2, "Service": service, "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": false,
		"StreamResumption": false, "GapTargetMs": 300,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

func configuration(routes, services []any) map[string]any {
	return map[string]any{
		"Version": 7, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []any{clientKey}, "Priority": 1}},
	}
}

// nextWord reports whether a line begins with a word, and sets the word after it.
func nextWord(line, word string, next *string) bool {
	fields := strings.Fields(line)
	if len(fields) < 2 || fields[0] != word {
		return false
	}
	*next = fields[1]
	return true
}
