package configcheck

import (
	"strings"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Check returns all findings about a document, sorted.
func Check(d *Document) []Finding {
	var f findings
	if d.Version <= 0 {
		f.add(Error, document(FieldVersion), "must be above zero")
	}
	f.checkProfiles(d)
	f.checkServices(d)
	f.checkTeams(d)
	Sort(f)
	return f
}

// address is what selects a profile.
type address struct{ host, prefix string }

func (f *findings) checkProfiles(d *Document) {
	services := make(map[string]bool)
	for _, s := range d.Services {
		services[s.Name] = true
	}
	names, addresses := make(map[string]int), make(map[address]int)
	for i := range d.Profiles {
		p := &d.Profiles[i]
		place := entry(Profiles, i, p.Name)
		if first, known := names[p.Name]; known {
			f.add(Warning, place.field(FieldName), "entry %d has the same name; logs do not tell them apart", first)
		} else {
			names[p.Name] = i
		}
		a := address{host: p.Host, prefix: p.PathPrefix}
		if first, known := addresses[a]; known {
			f.add(Error, place, "never matches: entry %d has the same host and prefix", first)
		} else {
			addresses[a] = i
		}
		f.checkAddress(place, p)
		f.checkSplit(place, p, services)
		f.checkLimits(place, p)
	}
}

// checkAddress finds hosts and prefixes that no request has. Hosts are compared in lower case and without a port.
func (f *findings) checkAddress(place Place, p *Profile) {
	switch {
	case p.Host == "":
		f.add(Warning, place.field(FieldHost), "never matches: the host is missing")
	case p.Host != strings.ToLower(p.Host):
		f.add(Warning, place.field(FieldHost), "never matches: hosts are compared in lower case")
	case strings.Contains(p.Host, ":"):
		f.add(Warning, place.field(FieldHost), "never matches: hosts are compared without a port")
	}
	switch {
	case !strings.HasPrefix(p.PathPrefix, "/"):
		f.add(Warning, place.field(FieldPathPrefix), "never matches: paths begin with a slash")
	case strings.Contains(p.PathPrefix, "?"):
		f.add(Warning, place.field(FieldPathPrefix), "never matches: paths are compared without the query")
	case !strings.HasSuffix(p.PathPrefix, "/"):
		f.add(Warning, place.field(FieldPathPrefix), "does not end with a slash and matches other paths that begin with it")
	}
}

// checkSplit finds services that do not exist or get no requests.
func (f *findings) checkSplit(place Place, p *Profile, services map[string]bool) {
	total := 0
	for i, s := range p.TrafficSplit {
		service, weight := place.field(FieldService), place.field(FieldService)
		if p.HasSplit {
			service, weight = place.element(FieldTrafficSplit, i, FieldService), place.element(FieldTrafficSplit, i, FieldWeight)
		}
		if !services[s.Service] {
			f.add(Error, service, "there is no service %q", s.Service)
		}
		if s.Weight == 0 {
			f.add(Warning, weight, "is zero: the service gets no requests of this entry")
		}
		if s.Weight < 0 {
			f.add(Error, weight, "is negative")
		}
		total += s.Weight
	}
	if total <= 0 {
		f.add(Error, place.field(FieldTrafficSplit), "all weights are zero")
	}
}

// checkLimits finds values of a profile that contradict each other. A time of zero is not stated.
func (f *findings) checkLimits(place Place, p *Profile) {
	switch p.Kind {
	case fleet.Idempotent, fleet.NonIdempotent, fleet.Streaming:
	default:
		f.add(Error, place.field(FieldKind), "unknown kind %q", string(p.Kind))
	}
	if p.TimeLimit < 0 || p.Objective < 0 || p.MaxGap < 0 {
		f.add(Error, place, "a time is negative")
		return
	}
	if p.TimeLimit > 0 && p.TimeLimit < p.Objective {
		f.add(Warning, place.field(FieldTimeLimit), "%v is below the objective of %v", p.TimeLimit, p.Objective)
	}
	if p.TimeLimit > 0 && p.MaxGap > p.TimeLimit {
		f.add(Warning, place.field(FieldMaxGap), "%v is above the time limit of %v", p.MaxGap, p.TimeLimit)
	}
	if p.MaxGap > 0 && p.Kind != fleet.Streaming {
		f.add(Warning, place.field(FieldMaxGap), "has no effect: responses of this kind are no streams")
	}
	if p.Resumable && p.Kind != fleet.Streaming {
		f.add(Warning, place.field(FieldResumable), "has no effect: responses of this kind are no streams")
	}
	if p.Kind == fleet.NonIdempotent && p.MaxAttempts > 1 {
		f.add(Warning, place.field(FieldAttempts), "is %d, but requests of this kind run at most once", p.MaxAttempts)
	}
	if p.Priority < 0 {
		f.add(Warning, place.field(FieldPriority), "is %d; 0 is the highest", p.Priority)
	}
}

func (f *findings) checkServices(d *Document) {
	used := make(map[string]bool)
	for _, p := range d.Profiles {
		for _, s := range p.TrafficSplit {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	catalog := d.catalog()
	names := make(map[string]int)
	for i := range d.Services {
		s := &d.Services[i]
		place := entry(Services, i, s.Name)
		if first, known := names[s.Name]; known {
			f.add(Error, place.field(FieldName), "entry %d has the same name", first)
			continue
		}
		names[s.Name] = i
		if !used[s.Name] {
			f.add(Warning, place, "gets no requests: nothing sends it a share above zero")
		}
		if s.ColdStart > 0 && s.ColdRate == 0 {
			f.add(Warning, place.field(FieldColdRate), "is zero: requests to endpoints in their cold start of %v are not bounded", s.ColdStart)
		}
		if count := catalog.UrgencyCount(s.Name); catalog.IsRanked(s.Name) && count > fleet.MaxRank+1 {
			f.add(Warning, place, "priorities give its requests %d ranks; engines distinguish %d, so that the lowest %d count as one",
				count, fleet.MaxRank+1, count-fleet.MaxRank)
		}
	}
}

func (f *findings) checkTeams(d *Document) {
	// owners maps a key to the index of the first team that has it.
	owners, names := make(map[string]int), make(map[string]int)
	for i := range d.Teams {
		t := &d.Teams[i]
		place := entry(Teams, i, t.Name)
		if first, known := names[t.Name]; known {
			f.add(Warning, place.field(FieldName), "entry %d has the same name; they count as one team", first)
		} else {
			names[t.Name] = i
		}
		if len(t.Keys) == 0 {
			f.add(Warning, place.field(FieldKeys), "has no keys: no caller belongs to it")
		}
		for n, key := range t.Keys {
			f.checkKey(place.element(FieldKeys, n, NoField), key, i, owners)
		}
		if t.Priority < 0 {
			f.add(Warning, place.field(FieldPriority), "is %d; 0 is the highest", t.Priority)
		}
	}
	if d.HasTeams && len(owners) == 0 {
		f.checkAdmission(d)
	}
}

func (f *findings) checkKey(place Place, key string, team int, owners map[string]int) {
	first, known := owners[key]
	switch {
	case key == "":
		f.add(Error, place, "is empty: callers without a key would belong to the team")
	case !known:
		owners[key] = team
	case first == team:
		f.add(Warning, place, "occurs twice in this entry")
	default:
		f.add(Error, place, "is also a key of entry %d", first)
	}
}

// checkAdmission finds profiles without callers, because there is no key.
func (f *findings) checkAdmission(d *Document) {
	for i := range d.Profiles {
		if p := &d.Profiles[i]; !p.Public {
			f.add(Warning, entry(Profiles, i, p.Name).field(FieldPublic), "no caller is admitted: the entry is not public, and there are no keys")
		}
	}
}
