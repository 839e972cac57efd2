package loader

import (
	"net/netip"
	"time"
)

// Role is the role of a daemon in the fleet.
type Role string

// A router chooses the upstreams for requests of callers; an agent runs requests at the upstream on its own host.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Kind is the kind of an agent's upstream.
type Kind string

// An engine serves a model; a service is a plain HTTP service.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Settings holds the settings of one daemon, a router or an agent.
type Settings struct {
	// Role is router on a host that callers connect to, and agent on the host of an upstream. Required.
	Role Role `json:"role" oneof:"router,agent" required:"true"`
	// Name identifies the process in the fleet; a process that replaces another on the same host takes over
	// the name. Required.
	Name string `json:"name" form:"name" required:"true"`
	// Region is the region of the host. Required.
	Region string `json:"region" form:"name" required:"true"`
	// FailureDomain is the failure domain of the host within its region. Required.
	FailureDomain string `json:"failure_domain" form:"name" required:"true"`
	// Listen is the address that serves callers at a router, and routers at an agent. Required.
	Listen netip.AddrPort `json:"listen" required:"true"`
	// ControlListen is the address for control traffic between the processes of the fleet. Required.
	ControlListen netip.AddrPort `json:"control_listen" required:"true"`
	// OperatorListen is the address that serves operators. Required.
	OperatorListen netip.AddrPort `json:"operator_listen" required:"true"`
	// Platform lists the addresses of the configuration service. Required, at least one.
	Platform []netip.AddrPort `json:"platform" required:"true"`
	// Peers lists the control addresses that the process may contact at startup; its own address is allowed and
	// skipped. Default: none.
	Peers []netip.AddrPort `json:"peers"`
	// SharedKey authenticates the processes of the fleet to each other. Exactly one of SharedKey and SharedKeyEnv is
	// set in the file.
	SharedKey Secret `json:"shared_key"`
	// SharedKeyEnv names the environment variable that holds the shared key. Default: none.
	SharedKeyEnv string `json:"shared_key_env" form:"variable" hide:"true"`
	// LogLevel is the lowest level that is logged. Default: info.
	LogLevel string `json:"log_level" oneof:"trace,debug,info,warn,error" default:"info"`

	// Limits bounds the time and size of requests and answers.
	Limits Limits `json:"limits"`
	// Routing controls how upstreams are chosen.
	Routing Routing `json:"routing"`
	// Budget bounds the control traffic of the process.
	Budget Budget `json:"budget"`
	// Drain controls graceful shutdown.
	Drain Drain `json:"drain"`
	// Upstream describes the agent's upstream. It is required for an agent, and nil for a router.
	Upstream *Upstream `json:"upstream"`
}

// Limits bounds the time and size of requests and answers.
type Limits struct {
	// HeaderTime is the maximum time to read a request's header. Default: 10s.
	HeaderTime time.Duration `json:"header_time" default:"10s" min:"100ms" max:"1m"`
	// HeaderSize is the maximum size of a request's header. Default: 32KB.
	HeaderSize Size `json:"header_size" default:"32KB" min:"4KB" max:"1MB"`
	// BodyTime is the maximum time to read a request's body. Default: 30s.
	BodyTime time.Duration `json:"body_time" default:"30s" min:"100ms" max:"10m"`
	// BodySize is the maximum size of a request's body. Default: 4MB.
	BodySize Size `json:"body_size" default:"4MB" min:"1KB" max:"64MB"`
	// StreamTime is the maximum time from the arrival of a request to the end of its answer. Default: 10m.
	StreamTime time.Duration `json:"stream_time" default:"10m" min:"1s" max:"24h"`
	// StreamSize is the maximum size of an answer. Default: 16MB.
	StreamSize Size `json:"stream_size" default:"16MB" min:"1KB" max:"256MB"`
	// StreamIdleTime is the maximum time between two events of a streamed answer. Default: 30s.
	StreamIdleTime time.Duration `json:"stream_idle_time" default:"30s" min:"100ms" max:"10m"`
	// IdleTime is the maximum time that an idle connection stays open. Default: 2m.
	IdleTime time.Duration `json:"idle_time" default:"2m" min:"1s" max:"1h"`
}

// Routing controls how upstreams are chosen for a chat.
type Routing struct {
	// Bound is the load factor: the multiple of the pool's mean load that no engine exceeds. Default: 1.25.
	Bound float64 `json:"bound" default:"1.25" min:"1.05" max:"4"`
	// Attempts is the maximum number of agents that a router tries for a request. Default: 3.
	Attempts int `json:"attempts" default:"3" min:"1" max:"10"`
	// Ramp is the time over which the weight of an upstream that has become ready rises to 1. Default: 30s.
	Ramp time.Duration `json:"ramp" default:"30s" min:"0s" max:"10m"`
	// FirstByteTimeout is the time without any response from an agent after which the router treats it as suspect.
	// Default: 3s.
	FirstByteTimeout time.Duration `json:"first_byte_timeout" default:"3s" min:"100ms" max:"5m"`
	// RetryRatio is the maximum ratio of retries to first attempts. Default: 0.1.
	RetryRatio float64 `json:"retry_ratio" default:"0.1" min:"0" max:"1"`
}

// Budget bounds the control traffic of a process.
type Budget struct {
	// ControlPerSecond is the maximum control traffic per second, sent and received. Default: 8KB.
	ControlPerSecond Size `json:"control_per_second" default:"8KB" min:"1KB" max:"1MB"`
}

// Drain controls graceful shutdown.
type Drain struct {
	// Grace is the time for which a process still accepts work after its shutdown has begun, while the other processes
	// are notified. Default: 2s. Its maximum is 3 s because a leaving upstream must not get new work after that time.
	Grace time.Duration `json:"grace" default:"2s" min:"0s" max:"3s"`
	// Limit is the time after which a process that shuts down exits even if a request still runs. Default: 15m.
	// It is at least the sum of grace, limits.stream_time and upstream.queue_time, because a graceful shutdown must
	// not cut off a request.
	Limit time.Duration `json:"limit" default:"15m" min:"1s" max:"48h"`
}

// Upstream describes the upstream of an agent.
type Upstream struct {
	// Kind is engine for a model engine and service for a plain HTTP service. Required.
	Kind Kind `json:"kind" oneof:"engine,service" required:"true"`
	// Name is the name of the pool that the engine belongs to, or of the service. Required.
	Name string `json:"name" form:"name" required:"true"`
	// Address is the address of the upstream. Required.
	Address netip.AddrPort `json:"address" required:"true"`
	// Slots is the number of requests that the upstream runs concurrently. Default: 16.
	Slots int `json:"slots" default:"16" min:"1" max:"4096"`
	// ChecksFencing reports whether the engine refuses a command with an outdated fencing number. Default: false.
	ChecksFencing bool `json:"checks_fencing" default:"false"`
	// QueueWork is the maximum work queued at the agent, in tokens. Default: 200000.
	QueueWork int `json:"queue_work" default:"200000" min:"1" max:"1000000000"`
	// QueueTime is the maximum time that a request is queued at the agent. Default: 30s.
	QueueTime time.Duration `json:"queue_time" default:"30s" min:"0s" max:"10m"`
	// AnswerKeep is the time that a recorded answer is kept after its end. Default: 1m.
	AnswerKeep time.Duration `json:"answer_keep" default:"1m" min:"0s" max:"1h"`
}
