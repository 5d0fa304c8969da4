package config

import "time"

// Limits of the numeric fields. Values outside of them are reported because they are almost certainly mistakes.
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

// checkDocument checks all sections and fills in the defaults.
func (c *checker) checkDocument(doc *Document) {
	c.checkRevision(doc.Revision)
	domains := c.checkDomains(doc)
	models := c.checkNames("models", len(doc.Models), func(i int) string { return doc.Models[i].Name })
	services := c.checkServices(doc, models)
	c.checkEndpoints(doc, services, domains)
	c.checkNonEmptyServices(doc)
	c.checkProfiles(doc, services)
	c.checkTeams(doc)
}

func (c *checker) checkDomains(doc *Document) map[string]int {
	c.requireItems("domains", len(doc.Domains))
	for i, domain := range doc.Domains {
		c.checkName(itemPath("domains", i)+".region", domain.Region)
	}
	return c.checkNames("domains", len(doc.Domains), func(i int) string { return doc.Domains[i].Name })
}

func (c *checker) checkServices(doc *Document, models map[string]int) map[string]int {
	c.requireItems("services", len(doc.Services))
	regions := make(map[string]int)
	for i, domain := range doc.Domains {
		regions[domain.Region] = i
	}
	for i := range doc.Services {
		service, path := &doc.Services[i], itemPath("services", i)
		c.checkRegion(path+".region", service.Region, regions)
		if c.requireField(path + ".kind") {
			c.checkKind(path, service, models)
		}
		c.checkStreams(path, service)
		c.checkPromptClasses(path, service)
	}
	return c.checkNames("services", len(doc.Services), func(i int) string { return doc.Services[i].Name })
}

func (c *checker) checkRegion(path, value string, regions map[string]int) {
	if !c.requireField(path) || c.report.Unreadable("domains") {
		return
	}
	if _, known := regions[value]; !known {
		c.report.Add(path, "no domain is in region %q", value)
	}
}

func (c *checker) checkKind(path string, service *Service, models map[string]int) {
	switch service.Kind {
	case KindModel:
		c.checkReference(path+".model", service.Model, "models", models)
		c.checkTokens(path, service)
		c.checkPrefillRate(path+".prefill_rate", service.PrefillRate)
	case KindPlain:
		c.checkPlainService(path, service)
	default:
		c.report.Add(path+".kind", "must be %s or %s", KindModel, KindPlain)
	}
}

// checkPlainService reports fields that apply to model services only.
func (c *checker) checkPlainService(path string, service *Service) {
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

func (c *checker) checkStreams(path string, service *Service) {
	c.requireRange(path+".warm.streams", int64(service.Warm.Streams), 1, maxStreams)
	c.requireRange(path+".cold.streams", int64(service.Cold.Streams), 1, maxStreams)
	if service.Cold.Streams > service.Warm.Streams && !c.report.Unreadable(path+".warm.streams") {
		c.report.Add(path+".cold.streams", "must not be above warm.streams (%d)", service.Warm.Streams)
	}
}

func (c *checker) checkTokens(path string, service *Service) {
	c.requireRange(path+".warm.tokens", service.Warm.Tokens, 1, maxTokens)
	c.requireRange(path+".cold.tokens", service.Cold.Tokens, 1, maxTokens)
	if service.Cold.Tokens > service.Warm.Tokens && !c.report.Unreadable(path+".warm.tokens") {
		c.report.Add(path+".cold.tokens", "must not be above warm.tokens (%d)", service.Warm.Tokens)
	}
}

// checkPrefillRate negates the valid range, so that NaN is reported too.
func (c *checker) checkPrefillRate(path string, value float64) {
	if c.requireField(path) && !(value > 0 && value <= maxPrefillRate) {
		c.report.Add(path, "must be above 0 and at most %.0f tokens per second", maxPrefillRate)
	}
}

func (c *checker) checkPromptClasses(path string, service *Service) {
	c.checkOptionalRange(path+".long_prefills", int64(service.LongPrefills), 1, maxLongPrefills)
	if !c.report.Has(path + ".long_prefills") {
		service.LongPrefills = DefaultLongPrefills
	}
	if service.ShortShare == nil {
		share := DefaultShortShare
		service.ShortShare = &share
	}
	// The negated range reports NaN too.
	if !(*service.ShortShare >= 0 && *service.ShortShare <= 1) {
		c.report.Add(path+".short_share", "must be from 0 to 1")
	}
}

func (c *checker) checkEndpoints(doc *Document, services, domains map[string]int) {
	c.requireItems("endpoints", len(doc.Endpoints))
	for i := range doc.Endpoints {
		endpoint, path := &doc.Endpoints[i], itemPath("endpoints", i)
		c.checkAddress(path+".address", endpoint.Address)
		service := c.checkReference(path+".service", endpoint.Service, "services", services)
		domain := c.checkReference(path+".domain", endpoint.Domain, "domains", domains)
		if service >= 0 && domain >= 0 {
			c.checkSameRegion(path+".domain", &doc.Services[service], &doc.Domains[domain])
		}
		if service >= 0 {
			c.endpointCounts[endpoint.Service]++
		}
		c.checkFencing(path+".fencing", endpoint)
	}
	c.checkNames("endpoints", len(doc.Endpoints), func(i int) string { return doc.Endpoints[i].Name })
}

func (c *checker) checkSameRegion(path string, service *Service, domain *Domain) {
	if service.Region != domain.Region {
		c.report.Add(path, "domain %s is in region %q, but service %s is in region %q", domain.Name, domain.Region,
			service.Name, service.Region)
	}
}

func (c *checker) checkFencing(path string, endpoint *Endpoint) {
	switch {
	case !c.report.Has(path):
		endpoint.Fencing = FencingIgnored
	case endpoint.Fencing != FencingEnforced && endpoint.Fencing != FencingIgnored:
		c.report.Add(path, "must be %s or %s", FencingEnforced, FencingIgnored)
	}
}

func (c *checker) checkNonEmptyServices(doc *Document) {
	if !c.report.Has("endpoints") || c.report.Unreadable("endpoints") {
		return
	}
	for i, service := range doc.Services {
		if service.Name != "" && c.endpointCounts[service.Name] == 0 {
			c.report.Add(itemPath("services", i)+".name", "no endpoint belongs to service %q", service.Name)
		}
	}
}

func (c *checker) checkProfiles(doc *Document, services map[string]int) {
	c.requireItems("profiles", len(doc.Profiles))
	for i := range doc.Profiles {
		profile, path := &doc.Profiles[i], itemPath("profiles", i)
		c.checkBudgets(path, profile)
		service := c.checkReference(path+".service", profile.Service, "services", services)
		if service < 0 {
			continue
		}
		switch doc.Services[service].Kind {
		case KindModel:
			c.checkMaxOutput(path+".max_output_tokens", profile, &doc.Services[service])
			c.checkGroup(path+".group", profile)
		case KindPlain:
			c.checkPlainProfile(path, profile)
		}
	}
	c.checkNames("profiles", len(doc.Profiles), func(i int) string { return doc.Profiles[i].Name })
}

func (c *checker) checkBudgets(path string, profile *Profile) {
	c.checkBudget(path+".default_budget", profile.DefaultBudget)
	c.checkBudget(path+".max_budget", profile.MaxBudget)
	if profile.DefaultBudget > profile.MaxBudget && c.report.Has(path+".max_budget") &&
		!c.report.Unreadable(path+".max_budget") {
		c.report.Add(path+".default_budget", "must not be above max_budget (%s)", profile.MaxBudget.Std())
	}
}

func (c *checker) checkPlainProfile(path string, profile *Profile) {
	if profile.MaxOutputTokens != 0 {
		c.report.Add(path+".max_output_tokens", "is for profiles of model services only")
	}
	if profile.Group != 0 {
		c.report.Add(path+".group", "is for profiles of model services only")
	}
}

func (c *checker) checkMaxOutput(path string, profile *Profile, service *Service) {
	c.requireRange(path, profile.MaxOutputTokens, 1, maxOutputTokens)
	if service.Warm.Tokens > 0 && profile.MaxOutputTokens > service.Warm.Tokens {
		c.report.Add(path, "must not be above the memory of one endpoint of service %s (%d tokens)", service.Name,
			service.Warm.Tokens)
	}
}

func (c *checker) checkGroup(path string, profile *Profile) {
	size := c.endpointCounts[profile.Service]
	switch {
	case profile.Group == 0:
	case profile.Group < minGroup:
		c.report.Add(path, "must be 0 or at least %d", minGroup)
	case profile.Group > size && !c.report.Unreadable("endpoints"):
		c.report.Add(path, "service %s has only %d endpoints", profile.Service, size)
	}
}

func (c *checker) checkTeams(doc *Document) {
	c.requireItems("teams", len(doc.Teams))
	for i := range doc.Teams {
		path := itemPath("teams", i) + ".weight"
		c.checkOptionalRange(path, int64(doc.Teams[i].Weight), 1, maxTeamWeight)
		if !c.report.Has(path) {
			doc.Teams[i].Weight = DefaultTeamWeight
		}
	}
	c.checkNames("teams", len(doc.Teams), func(i int) string { return doc.Teams[i].Name })
}

// checkInstances checks an instance list.
func (c *checker) checkInstances(list *InstanceList) {
	c.checkRevision(list.Revision)
	c.requireItems("instances", len(list.Instances))
	regionOf := make(map[string]string)
	for i, instance := range list.Instances {
		path := itemPath("instances", i)
		c.checkName(path+".domain", instance.Domain)
		c.checkName(path+".region", instance.Region)
		c.checkAddress(path+".peer", instance.PeerAddress)
		c.checkAddress(path+".gateway", instance.GatewayAddress)
		c.checkAddress(path+".operators", instance.OperatorsAddress)
		if region, known := regionOf[instance.Domain]; known && region != instance.Region {
			c.report.Add(path+".region", "domain %s is in region %q in an earlier entry", instance.Domain, region)
			continue
		}
		regionOf[instance.Domain] = instance.Region
	}
	c.checkNames("instances", len(list.Instances), func(i int) string { return list.Instances[i].Name })
}
