package config

// Index is a validated document with lookup tables. It is immutable.
type Index struct {
	Document  *Document
	domains   map[string]*Domain
	services  map[string]*Service
	endpoints map[string]*Endpoint
	profiles  map[string]*Profile
	teams     map[string]*Team
	byService map[string][]*Endpoint
}

// NewIndex builds the lookup tables of a document, which must be valid.
func NewIndex(doc *Document) *Index {
	ix := &Index{
		Document:  doc,
		domains:   make(map[string]*Domain, len(doc.Domains)),
		services:  make(map[string]*Service, len(doc.Services)),
		endpoints: make(map[string]*Endpoint, len(doc.Endpoints)),
		profiles:  make(map[string]*Profile, len(doc.Profiles)),
		teams:     make(map[string]*Team, len(doc.Teams)),
		byService: make(map[string][]*Endpoint),
	}
	for i := range doc.Domains {
		ix.domains[doc.Domains[i].Name] = &doc.Domains[i]
	}
	for i := range doc.Services {
		ix.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Endpoints {
		ep := &doc.Endpoints[i]
		ix.endpoints[ep.Name] = ep
		ix.byService[ep.Service] = append(ix.byService[ep.Service], ep)
	}
	for i := range doc.Profiles {
		ix.profiles[doc.Profiles[i].Name] = &doc.Profiles[i]
	}
	for i := range doc.Teams {
		ix.teams[doc.Teams[i].Name] = &doc.Teams[i]
	}
	return ix
}

// Revision returns the document's revision.
func (ix *Index) Revision() uint64 { return ix.Document.Revision }

// Domain returns the failure domain with the given name, or nil.
func (ix *Index) Domain(name string) *Domain { return ix.domains[name] }

// Service returns the service with the given name, or nil.
func (ix *Index) Service(name string) *Service { return ix.services[name] }

// Endpoint returns the endpoint with the given name, or nil.
func (ix *Index) Endpoint(name string) *Endpoint { return ix.endpoints[name] }

// Profile returns the profile with the given name, or nil.
func (ix *Index) Profile(name string) *Profile { return ix.profiles[name] }

// Team returns the team with the given name, or nil.
func (ix *Index) Team(name string) *Team { return ix.teams[name] }

// EndpointsOf returns all endpoints of a service, in document order.
func (ix *Index) EndpointsOf(service string) []*Endpoint { return ix.byService[service] }

// AcceptsWork reports whether new requests may be sent to the endpoint under this revision: neither the endpoint is
// leaving nor its domain out of service.
func (ix *Index) AcceptsWork(ep *Endpoint) bool {
	if ep.Leaving {
		return false
	}
	domain := ix.domains[ep.Domain]
	return domain != nil && !domain.OutOfService
}
