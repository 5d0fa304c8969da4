// Package settings holds the static configuration of a process, which it reads from a YAML file at its start.
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

// Common holds the settings that acacia-gateway, acacia-controller and acacia-entry have in common.
type Common struct {
	// Instance is the name of the instance in the platform's instance list.
	Instance string `yaml:"instance"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// BalancerLag is the longest time until the load balancer detects that an instance is leaving. acacia-entry does not use
	// it.
	BalancerLag strictyaml.Duration `yaml:"balancer_lag"`
}

// Gateway holds the settings of acacia-gateway.
type Gateway struct {
	Common    `yaml:",inline"`
	Addresses GatewayAddresses `yaml:"addresses"`
	Keys      GatewayKeys      `yaml:"keys"`
	Limits    Limits           `yaml:"limits"`
	// Policy ranks the endpoints for a request; the default is PolicyLeastWait.
	Policy Policy `yaml:"policy"`
	// Uncontrolled dispatches requests without credits and length classes. It is only for measurements of a baseline
	// policy, because it does not protect endpoints from overload.
	Uncontrolled bool `yaml:"uncontrolled"`
}

// Policy names a routing policy.
type Policy string

// The routing policies. All except PolicyLeastWait are baselines for measurements.
const (
	PolicyLeastWait     Policy = "least_wait"
	PolicyLeastRequests Policy = "least_requests"
	PolicyRandomTwo     Policy = "random_two"
)

// GatewayAddresses holds the addresses of a gateway; each is IP:port.
type GatewayAddresses struct {
	// Callers is the listening address for callers.
	Callers string `yaml:"callers"`
	// Controller is the peer address of the controller on the same instance.
	Controller string `yaml:"controller"`
}

// GatewayKeys holds the keys of a gateway. A key is given either directly or as the path of a file that contains it. After
// loading, the key is set in both cases.
type GatewayKeys struct {
	// Peers is the key with which all processes of a deployment authenticate to each other.
	Peers     Key    `yaml:"peers"`
	PeersFile string `yaml:"peers_file"`
}

// Limits holds the limits on requests from callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxBufferedBytes is the maximum total size of the bodies that the gateway buffers.
	MaxBufferedBytes int64 `yaml:"max_buffered_bytes"`
	// MaxHeaderBytes is the maximum size of the header of a request.
	MaxHeaderBytes int64 `yaml:"max_header_bytes"`
}

// Controller holds the settings of acacia-controller.
type Controller struct {
	Common    `yaml:",inline"`
	Addresses ControllerAddresses `yaml:"addresses"`
	Keys      ControllerKeys      `yaml:"keys"`
	// Platform lists the IP:port addresses that serve the configuration and the instance list. They are tried in turn.
	Platform []string `yaml:"platform"`
	// ListLagBound is the maximum lag of the platform's instance list.
	ListLagBound strictyaml.Duration `yaml:"list_lag_bound"`
}

// ControllerAddresses holds the listening addresses of a controller; each is IP:port.
type ControllerAddresses struct {
	// Peers is the listening address for controllers and gateways.
	Peers string `yaml:"peers"`
	// Operators is the listening address of the operators' API.
	Operators string `yaml:"operators"`
}

// ControllerKeys holds the keys of a controller. A key is given either directly or as the path of a file that contains it.
// After loading, the key is set in both cases.
type ControllerKeys struct {
	// Peers is the key with which all processes of a deployment authenticate to each other.
	Peers     Key    `yaml:"peers"`
	PeersFile string `yaml:"peers_file"`
	// Operators is the bearer key of the operators' API.
	Operators     Key    `yaml:"operators"`
	OperatorsFile string `yaml:"operators_file"`
}

// Key is a secret. Printing or encoding it yields a placeholder.
type Key string

const redacted = "[redacted]"

// Reveal returns the secret.
func (k Key) Reveal() string { return string(k) }

// String returns a placeholder.
func (k Key) String() string { return redacted }

// GoString returns a placeholder.
func (k Key) GoString() string { return redacted }

// MarshalText returns a placeholder.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// SetText implements strictyaml.TextValue.
func (k *Key) SetText(text string) error {
	*k = Key(text)
	return nil
}
