package lease

import (
	"strconv"
	"strings"

	"github.com/acacialift/acacialift/internal/config"
)

const (
	endpointPrefix = "endpoint/"
	keysPrefix     = "keys/"
)

// The reasons for which nobody may hold a resource.
const (
	ReasonUnknownResource = "unknown_resource"
	ReasonOutOfService    = "out_of_service"
	ReasonLeaving         = "leaving"
)

// EndpointResource returns the resource name of an endpoint.
func EndpointResource(name string) string { return endpointPrefix + name }

// KeyResource returns the resource name of a key slot, 0 to KeySlots-1.
func KeyResource(service string, slot int) string {
	return keysPrefix + service + "/" + strconv.Itoa(slot)
}

// IsKeySlot reports whether a resource is a key slot.
func IsKeySlot(resource string) bool { return strings.HasPrefix(resource, keysPrefix) }

// Info holds the properties of a resource in one configuration revision.
type Info struct {
	Region string
	// Domain is the endpoint's failure domain; empty for key slots.
	Domain string
	// Refusal is the reason for which nobody may hold the resource under this revision; empty if an instance may.
	Refusal string
}

// Describe returns the properties of all resources of a configuration, by resource name.
func Describe(ix *config.Index) map[string]Info {
	resources := make(map[string]Info)
	for i := range ix.Document.Endpoints {
		ep := &ix.Document.Endpoints[i]
		resources[EndpointResource(ep.Name)] = describeEndpoint(ix, ep)
	}
	for i := range ix.Document.Services {
		service := &ix.Document.Services[i]
		if service.Kind != config.KindPlain {
			continue
		}
		for slot := range KeySlots {
			resources[KeyResource(service.Name, slot)] = Info{Region: service.Region}
		}
	}
	return resources
}

func describeEndpoint(ix *config.Index, ep *config.Endpoint) Info {
	domain := ix.Domain(ep.Domain)
	if domain == nil {
		return Info{Domain: ep.Domain, Refusal: ReasonUnknownResource}
	}
	info := Info{Region: domain.Region, Domain: domain.Name}
	switch {
	case ep.Leaving:
		info.Refusal = ReasonLeaving
	case !ix.AcceptsWork(ep):
		info.Refusal = ReasonOutOfService
	}
	return info
}
