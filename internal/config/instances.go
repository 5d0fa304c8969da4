package config

// InstanceList is one revision of the platform's list of entry instances. It can be out of date.
type InstanceList struct {
	Revision  uint64     `yaml:"revision"`
	Instances []Instance `yaml:"instances"`
}

// Instance is one entry instance, which runs a gateway and a controller.
type Instance struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// PeerAddress is the IP:port at which the controller accepts connections of other controllers and of gateways.
	PeerAddress string `yaml:"peer"`
	// GatewayAddress is the IP:port at which the gateway accepts connections of callers.
	GatewayAddress string `yaml:"gateway"`
	// OperatorsAddress is the IP:port of the operators' API.
	OperatorsAddress string `yaml:"operators"`
	// Leaving is true once a graceful shutdown of the instance was announced.
	Leaving bool `yaml:"leaving"`
}
