// Package configcheck checks a configuration document of the operators before it is published: errors, entries that can never match,
// limits that contradict each other, and what differs from the version in force. It knows no names of the document's format; an adapter
// decodes the document and names the fields. No finding contains the text of a key.
package configcheck

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Document is a decoded configuration document. Its lists have the order of the document, so that findings can state places.
type Document struct {
	Version  int64
	Profiles []Profile
	Services []Service
	Teams    []Team
	// HasTeams is true if the document has a list of teams. Otherwise callers need no key.
	HasTeams bool
	Limits   fleet.Limits
}

// Profile is a profile of the document.
type Profile struct {
	fleet.Profile
	// HasSplit is true if the document has a traffic split. Otherwise TrafficSplit holds the service of the profile.
	HasSplit bool
}

// Service is a service of the document.
type Service struct {
	fleet.Service
	// ColdStart is the duration of the cold start of the service's endpoints.
	ColdStart time.Duration
}

// Team is a team of the document.
type Team struct {
	fleet.Team
	// Keys are compared and counted, never printed.
	Keys []string
}

// catalog returns the catalog of the document, for the ranks of its services.
func (d *Document) catalog() *fleet.Catalog {
	c := fleet.Catalog{Services: make(map[string]*fleet.Service), Teams: make(map[string]fleet.Team), HasTeams: d.HasTeams}
	for _, p := range d.Profiles {
		c.Profiles = append(c.Profiles, p.Profile)
	}
	for i := range d.Services {
		c.Services[d.Services[i].Name] = &d.Services[i].Service
	}
	for _, t := range d.Teams {
		for _, key := range t.Keys {
			c.Teams[key] = t.Team
		}
	}
	return fleet.NewCatalog(c)
}
