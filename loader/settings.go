package loader

import (
	"net/netip"
	"time"
)

// Role says which part of the fleet a daemon plays.
type Role string

// The roles of a daemon.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Kind says what an agent's upstream is.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Role is router on an entry host and agent beside an upstream. Required.
	Role Role `json:"role" oneof:"router,agent" required:"true"`
	// Name identifies the process in the fleet; a process that replaces another on the same host keeps it. Required.
	Name string `json:"name" form:"name" required:"true"`
	// Region is the region of the host. Required.
	Region string `json:"region" form:"name" required:"true"`
	// FailureDomain is the failure domain of the host within its region. Required.
	FailureDomain string `json:"failure_domain" form:"name" required:"true"`
	// Listen is the address for callers at a router, and for routers at an agent. Required.
	Listen netip.AddrPort `json:"listen" required:"true"`
	// ControlListen is the address for control traffic between the system's own processes. Required.
	ControlListen netip.AddrPort `json:"control_listen" required:"true"`
	// OperatorListen is the address for operators. Required.
	OperatorListen netip.AddrPort `json:"operator_listen" required:"true"`
	// Platform lists the addresses of the configuration service. Required, at least one.
	Platform []netip.AddrPort `json:"platform" required:"true"`
	// Peers lists control addresses that a starting process may ask; its own address is allowed and not asked.
	// Default: none.
	Peers []netip.AddrPort `json:"peers"`
	// SharedKey authenticates the system's own processes to each other. Either this or SharedKeyEnv is required.
	SharedKey Secret `json:"shared_key"`
	// SharedKeyEnv names the environment variable that holds the shared key. Default: none.
	SharedKeyEnv string `json:"shared_key_env" form:"variable" hide:"true"`
	// LogLevel is the least severe level that is logged. Default: info.
	LogLevel string `json:"log_level" oneof:"trace,debug,info,warn,error" default:"info"`

	// Limits bound what a caller may take up.
	Limits Limits `json:"limits"`
	// Routing sets the choice of upstreams.
	Routing Routing `json:"routing"`
	// Budget bounds what the process spends on control.
	Budget Budget `json:"budget"`
	// Drain sets the course of a planned stop.
	Drain Drain `json:"drain"`
	// Upstream describes the agent's upstream; it is nil at a router and must be set at an agent.
	Upstream *Upstream `json:"upstream"`
}

// Limits bound the time and size of requests and answers.
type Limits struct {
	// HeaderTime bounds the reading of a request's header. Default: 10s.
	HeaderTime time.Duration `json:"header_time" default:"10s" min:"100ms" max:"1m"`
	// HeaderSize bounds a request's header. Default: 32KB.
	HeaderSize Size `json:"header_size" default:"32KB" min:"4KB" max:"1MB"`
	// BodyTime bounds the reading of a request's body. Default: 30s.
	BodyTime time.Duration `json:"body_time" default:"30s" min:"100ms" max:"10m"`
	// BodySize bounds a request's body. Default: 4MB.
	BodySize Size `json:"body_size" default:"4MB" min:"1KB" max:"64MB"`
	// StreamTime bounds a request from its arrival to the end of its answer. Default: 10m.
	StreamTime time.Duration `json:"stream_time" default:"10m" min:"1s" max:"24h"`
	// StreamSize bounds an answer. Default: 16MB.
	StreamSize Size `json:"stream_size" default:"16MB" min:"1KB" max:"256MB"`
	// StreamIdleTime bounds the gap between two events of a streamed answer. Default: 30s.
	StreamIdleTime time.Duration `json:"stream_idle_time" default:"30s" min:"100ms" max:"10m"`
	// IdleTime bounds the time that an unused connection stays open. Default: 2m.
	IdleTime time.Duration `json:"idle_time" default:"2m" min:"1s" max:"1h"`
}

// Routing sets how upstreams are chosen for a chat.
type Routing struct {
	// Bound is the multiple of the pool's mean load that no engine exceeds. Default: 1.25.
	Bound float64 `json:"bound" default:"1.25" min:"1.05" max:"4"`
	// Attempts is the number of agents that a router tries for a request. Default: 3.
	Attempts int `json:"attempts" default:"3" min:"1" max:"10"`
	// Ramp is the time over which the weight of an upstream that has become ready rises to 1. Default: 30s.
	Ramp time.Duration `json:"ramp" default:"30s" min:"0s" max:"10m"`
	// FirstByteTimeout is the wait for a sign of life of an agent after which the agent is suspect. Default: 3s.
	FirstByteTimeout time.Duration `json:"first_byte_timeout" default:"3s" min:"100ms" max:"5m"`
	// RetryRatio is the largest ratio of retries to first attempts. Default: 0.1.
	RetryRatio float64 `json:"retry_ratio" default:"0.1" min:"0" max:"1"`
}

// Budget bounds what a process spends on control.
type Budget struct {
	// ControlPerSecond bounds the bytes of control traffic in a second, sent and received. Default: 8KB.
	ControlPerSecond Size `json:"control_per_second" default:"8KB" min:"1KB" max:"1MB"`
}

// Drain sets the course of a planned stop.
type Drain struct {
	// Grace is the time that a leaving process still accepts work, until the others know of it. Default: 2s.
	// Its maximum is the 3 s after which a leaving upstream may get no new work.
	Grace time.Duration `json:"grace" default:"2s" min:"0s" max:"3s"`
	// Limit is the time after which a leaving process stops even if a request still runs. Default: 15m.
	// It is at least the sum of grace, limits.stream_time and upstream.queue_time, because a planned stop cuts no request.
	Limit time.Duration `json:"limit" default:"15m" min:"1s" max:"48h"`
}

// Upstream describes the upstream beside an agent.
type Upstream struct {
	// Kind is engine for a model engine and service for a plain HTTP service. Required.
	Kind Kind `json:"kind" oneof:"engine,service" required:"true"`
	// Name is the name of the pool that the engine belongs to, or of the service. Required.
	Name string `json:"name" form:"name" required:"true"`
	// Address is the address of the upstream. Required.
	Address netip.AddrPort `json:"address" required:"true"`
	// Slots is the number of requests that run at the same time. Default: 16.
	Slots int `json:"slots" default:"16" min:"1" max:"4096"`
	// ChecksFencing says that the engine refuses a command with an old fencing number. Default: false.
	ChecksFencing bool `json:"checks_fencing" default:"false"`
	// QueueWork bounds the work that waits at the agent, in tokens. Default: 200000.
	QueueWork int `json:"queue_work" default:"200000" min:"1" max:"1000000000"`
	// QueueTime bounds the time that a request waits at the agent. Default: 30s.
	QueueTime time.Duration `json:"queue_time" default:"30s" min:"0s" max:"10m"`
	// AnswerKeep is the time that a recorded answer is kept after its end. Default: 1m.
	AnswerKeep time.Duration `json:"answer_keep" default:"1m" min:"0s" max:"1h"`
}
