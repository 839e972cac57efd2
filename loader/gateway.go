package loader

import (
	"net/netip"
	"time"
)

// Gateway are the settings of a gateway, the router that calls upstreams directly on the platform.
type Gateway struct {
	// Name identifies the process in the fleet. Required.
	Name string `json:"name" form:"name" required:"true"`
	// Region is the region of the host. Required.
	Region string `json:"region" form:"name" required:"true"`
	// FailureDomain is the failure domain of the host. Required.
	FailureDomain string `json:"failure_domain" form:"name" required:"true"`
	// Listen is the address for callers. Required.
	Listen netip.AddrPort `json:"listen" required:"true"`
	// ReadyListen is the address of the readiness check. Required.
	ReadyListen netip.AddrPort `json:"ready_listen" required:"true"`
	// PeerListen is the address for other gateways. Required.
	PeerListen netip.AddrPort `json:"peer_listen" required:"true"`
	// MetricsListen is the address of the metrics. Required.
	MetricsListen netip.AddrPort `json:"metrics_listen" required:"true"`
	// Store is the address of the platform's store. Required.
	Store netip.AddrPort `json:"store" required:"true"`
	// Peers lists addresses of other gateways to ask at the start; its own is allowed. Default: none.
	Peers []netip.AddrPort `json:"peers"`
	// LogLevel is the least severe level that is logged. Default: info.
	LogLevel string `json:"log_level" oneof:"trace,debug,info,warn,error" default:"info"`
	// Memory is what the process may use in all. Default: 256MB.
	Memory Size `json:"memory" default:"256MB" min:"64MB" max:"64GB"`
	// Link is the speed of the host's link in Mbit/s; gateways with fast links read the store for the others. Zero means
	// unknown. Default: 0.
	Link float64 `json:"link" default:"0" min:"0" max:"1000000"`
	// Connections bounds the connections of callers. Default: 3000.
	Connections int `json:"connections" default:"3000" min:"10" max:"1000000"`
	// Propagation is the time within which a change of the configuration or of the upstreams is in force. Default: 2s.
	Propagation time.Duration `json:"propagation" default:"2s" min:"100ms" max:"1m"`
	// Grace is the time between the request to stop and the end of the process. Default: 8s.
	Grace time.Duration `json:"grace" default:"8s" min:"1s" max:"15m"`
	// Retries bounds the second tries of the fleet.
	Retries Retries `json:"retries"`
}

// Retries bounds the second tries that all gateways together send to a service.
type Retries struct {
	// Ratio is the number of second tries per request. Default: 0.1.
	Ratio float64 `json:"ratio" default:"0.1" min:"0" max:"1"`
	// Window is the time over which requests and second tries are counted. Default: 10s.
	Window time.Duration `json:"window" default:"10s" min:"1s" max:"10m"`
	// Extra is the number of second tries in a window that the ratio does not bound. Default: 0.
	Extra int `json:"extra" default:"0" min:"0" max:"1000000"`
}

// LoadGateway reads the settings of a gateway from a file; a faulty file gives an error of type Problems.
func LoadGateway(file string) (*Gateway, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseGateway(file, data)
}

// ParseGateway decodes the settings of a gateway; file is the name that errors give.
func ParseGateway(file string, data []byte) (*Gateway, error) {
	s := &Gateway{}
	err := decode(file, data, s, func(d *decoder) {
		d.checkDistinctAddresses([]listener{
			{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"peer_listen", s.PeerListen}, {"metrics_listen", s.MetricsListen},
		})
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}
