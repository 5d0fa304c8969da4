package config

import "time"

// The largest values that are taken for serious; larger ones are reported as mistakes.
const (
	maxStreams      = 100_000
	maxTokens       = 1_000_000_000
	maxOutputTokens = 10_000_000
	maxLongPrefills = 1_000
	maxPrefillRate  = 1e9
	maxTeamWeight   = 1_000_000
	maxBudget       = 24 * time.Hour
	minGroup        = 2
)

// document checks all sections and fills in defaults.
func (c *checker) document(doc *Document) {
	c.revision(doc.Revision)
	domains := c.domains(doc)
	models := c.names("models", len(doc.Models), func(i int) string { return doc.Models[i].Name })
	services := c.services(doc, models)
	c.endpoints(doc, services, domains)
	c.nonEmptyServices(doc)
	c.profiles(doc, services)
	c.teams(doc)
}

func (c *checker) domains(doc *Document) map[string]int {
	c.notEmpty("domains", len(doc.Domains))
	for i, domain := range doc.Domains {
		c.name(item("domains", i)+".region", domain.Region)
	}
	return c.names("domains", len(doc.Domains), func(i int) string { return doc.Domains[i].Name })
}

func (c *checker) services(doc *Document, models map[string]int) map[string]int {
	c.notEmpty("services", len(doc.Services))
	regions := make(map[string]int)
	for i, domain := range doc.Domains {
		regions[domain.Region] = i
	}
	for i := range doc.Services {
		service, path := &doc.Services[i], item("services", i)
		c.region(path+".region", service.Region, regions)
		if c.present(path + ".kind") {
			c.kind(path, service, models)
		}
		c.streams(path, service)
		c.shares(path, service)
	}
	return c.names("services", len(doc.Services), func(i int) string { return doc.Services[i].Name })
}

func (c *checker) region(path, value string, regions map[string]int) {
	if !c.present(path) || c.report.Unreadable("domains") {
		return
	}
	if _, known := regions[value]; !known {
		c.report.Add(path, "no domain is in region %q", value)
	}
}

func (c *checker) kind(path string, service *Service, models map[string]int) {
	switch service.Kind {
	case KindModel:
		c.reference(path+".model", service.Model, "models", models)
		c.tokens(path, service)
		c.prefillRate(path+".prefill_rate", service.PrefillRate)
	case KindPlain:
		c.plain(path, service)
	default:
		c.report.Add(path+".kind", "must be %s or %s", KindModel, KindPlain)
	}
}

// plain reports fields that have a meaning for model services only.
func (c *checker) plain(path string, service *Service) {
	const message = "is for model services only"
	if service.Model != "" {
		c.report.Add(path+".model", message)
	}
	if service.Warm.Tokens != 0 {
		c.report.Add(path+".warm.tokens", message)
	}
	if service.Cold.Tokens != 0 {
		c.report.Add(path+".cold.tokens", message)
	}
	if service.PrefillRate != 0 {
		c.report.Add(path+".prefill_rate", message)
	}
}

func (c *checker) streams(path string, service *Service) {
	c.between(path+".warm.streams", int64(service.Warm.Streams), 1, maxStreams)
	c.between(path+".cold.streams", int64(service.Cold.Streams), 1, maxStreams)
	if service.Cold.Streams > service.Warm.Streams && !c.report.Unreadable(path+".warm.streams") {
		c.report.Add(path+".cold.streams", "must not be above warm.streams (%d)", service.Warm.Streams)
	}
}

func (c *checker) tokens(path string, service *Service) {
	c.between(path+".warm.tokens", service.Warm.Tokens, 1, maxTokens)
	c.between(path+".cold.tokens", service.Cold.Tokens, 1, maxTokens)
	if service.Cold.Tokens > service.Warm.Tokens && !c.report.Unreadable(path+".warm.tokens") {
		c.report.Add(path+".cold.tokens", "must not be above warm.tokens (%d)", service.Warm.Tokens)
	}
}

// prefillRate is written so that a value that is not a number fails.
func (c *checker) prefillRate(path string, value float64) {
	if c.present(path) && !(value > 0 && value <= maxPrefillRate) {
		c.report.Add(path, "must be above 0 and at most %.0f tokens per second", maxPrefillRate)
	}
}

func (c *checker) shares(path string, service *Service) {
	c.optionalBetween(path+".long_prefills", int64(service.LongPrefills), 1, maxLongPrefills)
	if !c.report.Has(path + ".long_prefills") {
		service.LongPrefills = DefaultLongPrefills
	}
	if service.ShortShare == nil {
		share := DefaultShortShare
		service.ShortShare = &share
	}
	// A value that is not a number fails too.
	if !(*service.ShortShare >= 0 && *service.ShortShare <= 1) {
		c.report.Add(path+".short_share", "must be from 0 to 1")
	}
}

func (c *checker) endpoints(doc *Document, services, domains map[string]int) {
	c.notEmpty("endpoints", len(doc.Endpoints))
	for i := range doc.Endpoints {
		endpoint, path := &doc.Endpoints[i], item("endpoints", i)
		c.address(path+".address", endpoint.Address)
		service := c.reference(path+".service", endpoint.Service, "services", services)
		domain := c.reference(path+".domain", endpoint.Domain, "domains", domains)
		if service >= 0 && domain >= 0 {
			c.sameRegion(path+".domain", &doc.Services[service], &doc.Domains[domain])
		}
		if service >= 0 {
			c.endpointsOf[endpoint.Service]++
		}
		c.fencing(path+".fencing", endpoint)
	}
	c.names("endpoints", len(doc.Endpoints), func(i int) string { return doc.Endpoints[i].Name })
}

func (c *checker) sameRegion(path string, service *Service, domain *Domain) {
	if service.Region != domain.Region {
		c.report.Add(path, "domain %s is in region %q, but service %s is in region %q", domain.Name, domain.Region,
			service.Name, service.Region)
	}
}

func (c *checker) fencing(path string, endpoint *Endpoint) {
	switch {
	case !c.report.Has(path):
		endpoint.Fencing = FencingIgnored
	case endpoint.Fencing != FencingEnforced && endpoint.Fencing != FencingIgnored:
		c.report.Add(path, "must be %s or %s", FencingEnforced, FencingIgnored)
	}
}

func (c *checker) nonEmptyServices(doc *Document) {
	if !c.report.Has("endpoints") || c.report.Unreadable("endpoints") {
		return
	}
	for i, service := range doc.Services {
		if service.Name != "" && c.endpointsOf[service.Name] == 0 {
			c.report.Add(item("services", i)+".name", "no endpoint belongs to service %q", service.Name)
		}
	}
}

func (c *checker) profiles(doc *Document, services map[string]int) {
	c.notEmpty("profiles", len(doc.Profiles))
	for i := range doc.Profiles {
		profile, path := &doc.Profiles[i], item("profiles", i)
		c.budgets(path, profile)
		service := c.reference(path+".service", profile.Service, "services", services)
		if service < 0 {
			continue
		}
		switch doc.Services[service].Kind {
		case KindModel:
			c.output(path+".max_output_tokens", profile, &doc.Services[service])
			c.group(path+".group", profile)
		case KindPlain:
			c.plainProfile(path, profile)
		}
	}
	c.names("profiles", len(doc.Profiles), func(i int) string { return doc.Profiles[i].Name })
}

func (c *checker) budgets(path string, profile *Profile) {
	c.budget(path+".default_budget", profile.DefaultBudget)
	c.budget(path+".max_budget", profile.MaxBudget)
	if profile.DefaultBudget > profile.MaxBudget && c.report.Has(path+".max_budget") &&
		!c.report.Unreadable(path+".max_budget") {
		c.report.Add(path+".default_budget", "must not be above max_budget (%s)", profile.MaxBudget.Std())
	}
}

func (c *checker) plainProfile(path string, profile *Profile) {
	if profile.MaxOutputTokens != 0 {
		c.report.Add(path+".max_output_tokens", "is for profiles of model services only")
	}
	if profile.Group != 0 {
		c.report.Add(path+".group", "is for profiles of model services only")
	}
}

func (c *checker) output(path string, profile *Profile, service *Service) {
	c.between(path, profile.MaxOutputTokens, 1, maxOutputTokens)
	if service.Warm.Tokens > 0 && profile.MaxOutputTokens > service.Warm.Tokens {
		c.report.Add(path, "must not be above the memory of one endpoint of service %s (%d tokens)", service.Name,
			service.Warm.Tokens)
	}
}

func (c *checker) group(path string, profile *Profile) {
	size := c.endpointsOf[profile.Service]
	switch {
	case profile.Group == 0:
	case profile.Group < minGroup:
		c.report.Add(path, "must be 0 or at least %d", minGroup)
	case profile.Group > size && !c.report.Unreadable("endpoints"):
		c.report.Add(path, "service %s has only %d endpoints", profile.Service, size)
	}
}

func (c *checker) teams(doc *Document) {
	c.notEmpty("teams", len(doc.Teams))
	for i := range doc.Teams {
		path := item("teams", i) + ".weight"
		c.optionalBetween(path, int64(doc.Teams[i].Weight), 1, maxTeamWeight)
		if !c.report.Has(path) {
			doc.Teams[i].Weight = DefaultTeamWeight
		}
	}
	c.names("teams", len(doc.Teams), func(i int) string { return doc.Teams[i].Name })
}

// instances checks an instance list.
func (c *checker) instances(list *InstanceList) {
	c.revision(list.Revision)
	c.notEmpty("instances", len(list.Instances))
	regionOf := make(map[string]string)
	for i, instance := range list.Instances {
		path := item("instances", i)
		c.name(path+".domain", instance.Domain)
		c.name(path+".region", instance.Region)
		c.address(path+".peer", instance.PeerAddress)
		c.address(path+".gateway", instance.GatewayAddress)
		c.address(path+".operators", instance.OperatorsAddress)
		if region, known := regionOf[instance.Domain]; known && region != instance.Region {
			c.report.Add(path+".region", "domain %s is in region %q in an earlier entry", instance.Domain, region)
			continue
		}
		regionOf[instance.Domain] = instance.Region
	}
	c.names("instances", len(list.Instances), func(i int) string { return list.Instances[i].Name })
}
