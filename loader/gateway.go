package loader

import (
	"net/netip"
	"time"
)

// Gateway holds the settings of a gateway, a router on the platform that calls upstreams directly. The platform fills in
// the fields with the tag adjust: their values need not be whole, and those out of range are adjusted.
type Gateway struct {
	// Name identifies the process in the fleet. Required.
	Name string `json:"name" form:"name" required:"true"`
	// Region is the region of the host. Required.
	Region string `json:"region" form:"name" required:"true"`
	// FailureDomain is the failure domain of the host. Required.
	FailureDomain string `json:"failure_domain" form:"name" required:"true"`
	// Listen is the address that serves callers. Required.
	Listen netip.AddrPort `json:"listen" required:"true"`
	// ReadyListen is the address that serves the readiness check. Required.
	ReadyListen netip.AddrPort `json:"ready_listen" required:"true"`
	// PeerListen is the address that serves other gateways. Required.
	PeerListen netip.AddrPort `json:"peer_listen" required:"true"`
	// MetricsListen is the address that serves the metrics. Required.
	MetricsListen netip.AddrPort `json:"metrics_listen" required:"true"`
	// Store is the address of the platform's store. Required.
	Store netip.AddrPort `json:"store" required:"true"`
	// Peers lists the peer addresses of gateways to contact at startup; the gateway's own address is allowed.
	// Default: none.
	Peers []netip.AddrPort `json:"peers"`
	// LogLevel is the lowest level that is logged. Default: info.
	LogLevel string `json:"log_level" oneof:"trace,debug,info,warn,error" default:"info"`
	// Memory is the memory limit of the process. Default: 256MB.
	Memory Size `json:"memory" adjust:"true" default:"256MB" min:"16MB" max:"64GB"`
	// Link is the speed of the host's network link in Mbit/s; gateways with fast links read the store on behalf of
	// the others. Zero means unknown. Default: 0.
	Link float64 `json:"link" adjust:"true" default:"0" min:"0" max:"1000000"`
	// Connections is the maximum number of open connections from callers. Default: 3000.
	Connections int `json:"connections" default:"3000" min:"10" max:"1000000"`
	// Propagation is the time within which a change of the configuration or of the upstreams takes effect.
	// Default: 2s.
	Propagation time.Duration `json:"propagation" adjust:"true" default:"2s" min:"100ms" max:"1m"`
	// Heartbeat is the interval at which upstreams renew their entries in the store; an entry expires after three of them.
	// Default: 1.2s.
	Heartbeat time.Duration `json:"heartbeat" adjust:"true" default:"1.2s" min:"100ms" max:"1m"`
	// Grace is the time between the request to stop and the end of the process, which is killed then. It is never taken as
	// longer than it is. Default: 8s.
	Grace time.Duration `json:"grace" adjust:"true" default:"8s" min:"0s" max:"15m"`
	// Retries bounds the retries that the gateways send.
	Retries Retries `json:"retries"`
	// Cold bounds the requests that the gateways send to cold upstreams.
	Cold Cold `json:"cold"`
	// LearnLimits lets the gateway learn how many requests each upstream of a plain service handles in time, and queue or refuse
	// those beyond. Default: false.
	LearnLimits bool `json:"learn_limits" default:"false"`
}

// Retries bounds the retries that all gateways together send to a service.
type Retries struct {
	// Ratio is the maximum number of retries per request. Default: 0.1.
	Ratio float64 `json:"ratio" adjust:"true" default:"0.1" min:"0" max:"1"`
	// Window is the time over which requests and retries are counted. Default: 10s.
	Window time.Duration `json:"window" adjust:"true" default:"10s" min:"1s" max:"10m"`
	// Extra is the number of retries in a window that are allowed in addition to the ratio. Default: 0.
	Extra float64 `json:"extra" adjust:"true" default:"0" min:"0" max:"1000000"`
}

// Cold bounds the requests that all gateways together send to one cold upstream in a second: Overshoot times the rate that the
// configuration allows for the service, plus Tolerance.
type Cold struct {
	// Overshoot is the factor by which the rate is multiplied. Default: 1.
	Overshoot float64 `json:"overshoot" adjust:"true" default:"1" min:"0" max:"1000"`
	// Tolerance is the number of requests in a second that are allowed in addition. Default: 0.
	Tolerance float64 `json:"tolerance" adjust:"true" default:"0" min:"0" max:"1000000"`
}

// LoadGateway reads the settings of a gateway from a file, and returns the values that it adjusted. Invalid settings give
// an error of type Problems.
func LoadGateway(file string) (*Gateway, []Adjustment, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	return ParseGateway(file, data)
}

// ParseGateway decodes the settings of a gateway like LoadGateway; error messages name the file as file.
func ParseGateway(file string, data []byte) (*Gateway, []Adjustment, error) {
	return parseGateway(file, data, false)
}

// CheckGateway reads a file like LoadGateway, but reports values that would be adjusted as problems.
func CheckGateway(file string) (*Gateway, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	s, _, err := parseGateway(file, data, true)
	return s, err
}

func parseGateway(file string, data []byte, strict bool) (*Gateway, []Adjustment, error) {
	s := &Gateway{}
	var adjustments []Adjustment
	err := decode(file, data, s, strict, func(d *decoder) {
		d.checkDistinctAddresses([]listener{
			{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"peer_listen", s.PeerListen}, {"metrics_listen", s.MetricsListen},
		})
		adjustments = d.adjustments
	})
	if err != nil {
		return nil, nil, err
	}
	return s, adjustments, nil
}
