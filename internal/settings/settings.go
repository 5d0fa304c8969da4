// Package settings holds the static configuration of one process, read from a YAML file at its start.
package settings

import (
	"time"

	"github.com/acacialift/acacialift/internal/strictyaml"
)

// FindingsError reports all findings of a settings file.
type FindingsError = strictyaml.FindingsError

// The defaults of optional settings.
const (
	DefaultMaxBodyBytes     = 8 << 20
	DefaultMaxBufferedBytes = 64 << 20
	DefaultMaxHeaderBytes   = 16 << 10
	DefaultBalancerLag      = 5 * time.Second
	DefaultListLagBound     = 10 * time.Second
	DefaultLogLevel         = "info"
)

// Common holds the settings that the gateway and the controller of an instance share.
type Common struct {
	// Instance is the name of the instance in the platform's list.
	Instance string `yaml:"instance"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// BalancerLag is the time in which the load balancer learns that an instance is leaving.
	BalancerLag strictyaml.Duration `yaml:"balancer_lag"`
}

// Gateway holds the settings of acacia-gateway.
type Gateway struct {
	Common    `yaml:",inline"`
	Addresses GatewayAddresses `yaml:"addresses"`
	Keys      GatewayKeys      `yaml:"keys"`
	Limits    Limits           `yaml:"limits"`
	// Policy orders the endpoints of a request; the default is PolicyLeastWait.
	Policy Policy `yaml:"policy"`
	// Uncontrolled hands requests over without credits and length classes. It is for measurements against a baseline
	// policy only: nothing keeps an endpoint from getting more work than it can handle.
	Uncontrolled bool `yaml:"uncontrolled"`
}

// Policy names a routing policy.
type Policy string

// The routing policies. All but the first are baselines for measurements.
const (
	PolicyLeastWait     Policy = "least_wait"
	PolicyLeastRequests Policy = "least_requests"
	PolicyRandomTwo     Policy = "random_two"
)

// GatewayAddresses holds the addresses of a gateway; each is IP:port.
type GatewayAddresses struct {
	// Callers is the listening address for callers.
	Callers string `yaml:"callers"`
	// Controller is the peers' address of the controller on the same instance.
	Controller string `yaml:"controller"`
}

// GatewayKeys holds the keys of a gateway. A key is given either as it is or as the path of a file that contains it;
// after loading, the key is set in both cases.
type GatewayKeys struct {
	// Peers is the key that all processes of a deployment present to each other.
	Peers     Key    `yaml:"peers"`
	PeersFile string `yaml:"peers_file"`
}

// Limits bounds what a gateway accepts from callers.
type Limits struct {
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxBufferedBytes bounds the sum of the bodies that the gateway holds.
	MaxBufferedBytes int64 `yaml:"max_buffered_bytes"`
	// MaxHeaderBytes bounds the header of one request.
	MaxHeaderBytes int64 `yaml:"max_header_bytes"`
}

// Controller holds the settings of acacia-controller.
type Controller struct {
	Common    `yaml:",inline"`
	Addresses ControllerAddresses `yaml:"addresses"`
	Keys      ControllerKeys      `yaml:"keys"`
	// Platform lists the IP:port addresses of the configuration service and the instance list, tried in turn.
	Platform []string `yaml:"platform"`
	// ListLagBound is the longest time by which the platform's instance list lags.
	ListLagBound strictyaml.Duration `yaml:"list_lag_bound"`
}

// ControllerAddresses holds the listening addresses of a controller; each is IP:port.
type ControllerAddresses struct {
	// Peers is the listening address for controllers and gateways.
	Peers string `yaml:"peers"`
	// Operators is the listening address of the operators' API.
	Operators string `yaml:"operators"`
}

// ControllerKeys holds the keys of a controller. A key is given either as it is or as the path of a file that contains
// it; after loading, the key is set in both cases.
type ControllerKeys struct {
	// Peers is the key that all processes of a deployment present to each other.
	Peers     Key    `yaml:"peers"`
	PeersFile string `yaml:"peers_file"`
	// Operators is the bearer key of the operators' API.
	Operators     Key    `yaml:"operators"`
	OperatorsFile string `yaml:"operators_file"`
}

// Key is a secret that is not shown when it is printed or encoded.
type Key string

const redacted = "[redacted]"

// Reveal returns the secret itself.
func (k Key) Reveal() string { return string(k) }

// String returns a placeholder.
func (k Key) String() string { return redacted }

// GoString returns a placeholder.
func (k Key) GoString() string { return redacted }

// MarshalText returns a placeholder.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// SetText reads a key from a YAML string.
func (k *Key) SetText(text string) error {
	*k = Key(text)
	return nil
}
