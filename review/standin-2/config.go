package main

import "encoding/json"

// route is a route of a configuration.
type route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, TargetLatencyMs   int
	Priority                     int
	Service                      string
	MaxAttempts                  int
	Anonymous                    bool
	SessionAffinity              bool
	StreamResumption             bool
	GapTargetMs                  int `json:",omitempty"`
}

type tenant struct {
	Name    string
	ApiKeys []string //nolint:revive // the wire's spelling
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, tenants []tenant) []byte {
	type service struct {
		Name, HealthCheckPath string
		ConnectionLimit       int
		Protocol              string
		TlsEnabled            bool           //nolint:revive // the wire's spelling
		InferenceEngine       map[string]any `json:",omitempty"`
	}
	data, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []service{
			{Name: "engine", HealthCheckPath: "/health", ConnectionLimit: 300, Protocol: "h1", InferenceEngine: map[string]any{"Slots": 48, "KvCacheCapacity": 699634}},
			{Name: "plain", HealthCheckPath: "/health", ConnectionLimit: 110, Protocol: "h1"},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	})
	return data
}

func standardRoutes() []route {
	return []route{
		{Name: "r-stream", Host: "a.example", PathPrefix: "/stream/", Kind: "streaming", TimeoutMs: 12000, TargetLatencyMs: 1200, Priority: 2, Service: "engine", MaxAttempts: 1, SessionAffinity: true, GapTargetMs: 200},
		{Name: "r-resume", Host: "a.example", PathPrefix: "/resume/", Kind: "streaming", TimeoutMs: 10000, TargetLatencyMs: 250, Service: "engine", MaxAttempts: 2, SessionAffinity: true, StreamResumption: true, GapTargetMs: 200},
		{Name: "r-order", Host: "a.example", PathPrefix: "/order/", Kind: "non_idempotent", TimeoutMs: 2500, TargetLatencyMs: 100, Priority: 2, Service: "plain", MaxAttempts: 1},
		{Name: "r-check", Host: "a.example", PathPrefix: "/check/", Kind: "idempotent", TimeoutMs: 2500, TargetLatencyMs: 100, Priority: 2, Service: "plain", MaxAttempts: 2},
	}
}
