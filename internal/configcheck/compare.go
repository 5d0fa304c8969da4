package configcheck

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Compare returns what differs between a document and the version in force, sorted. A version that does not rise is an error, because
// instances never replace a version by an equal or lower one.
func Compare(d, inForce *Document) []Finding {
	var f findings
	if d.Version <= inForce.Version {
		f.add(Error, document(FieldVersion), "is %d and does not rise: the version in force is %d", d.Version, inForce.Version)
	}
	f.compareProfiles(d, inForce)
	f.compareServices(d, inForce)
	f.compareTeams(d, inForce)
	for _, l := range limitsOf(d.Limits, inForce.Limits) {
		f.compareValue(document(l.field), l.now, l.before)
	}
	Sort(f)
	return f
}

// value is a field's value in the document and in the version in force.
type value struct {
	field       Field
	now, before any
}

func limitsOf(now, before fleet.Limits) []value {
	return []value{
		{FieldMaxHeaderBytes, now.MaxHeaderBytes, before.MaxHeaderBytes},
		{FieldMaxBodyBytes, now.MaxBodyBytes, before.MaxBodyBytes},
		{FieldHeadTimeout, now.HeadTimeout, before.HeadTimeout},
		{FieldIdleTimeout, now.IdleTimeout, before.IdleTimeout},
	}
}

func (f *findings) compareValue(place Place, now, before any) {
	if !reflect.DeepEqual(now, before) {
		f.add(Difference, place, "changed from %v to %v", before, now)
	}
}

// comparison matches the entries of a list by their names.
type comparison[E any] struct {
	list        List
	now, before []E
	name        func(*E) string
	// describe, if set, adds what an added or removed entry holds.
	describe func(*E) string
	// change compares two entries of the same name.
	change func(place Place, now, before *E)
}

// compareList reports entries that were added or removed, and compares the others. Of entries with the same name the first counts.
func compareList[E any](f *findings, c comparison[E]) {
	before := make(map[string]*E)
	for i := range c.before {
		if e := &c.before[i]; before[c.name(e)] == nil {
			before[c.name(e)] = e
		}
	}
	seen := make(map[string]bool)
	for i := range c.now {
		e := &c.now[i]
		name := c.name(e)
		if seen[name] {
			continue
		}
		seen[name] = true
		place := entry(c.list, i, name)
		if old := before[name]; old != nil {
			c.change(place, e, old)
		} else {
			f.add(Difference, place, "added%s", c.description(e))
		}
	}
	for name, e := range before {
		if !seen[name] {
			f.add(Difference, entry(c.list, noIndex, name), "removed%s", c.description(e))
		}
	}
}

func (c *comparison[E]) description(e *E) string {
	if c.describe == nil {
		return ""
	}
	return ", " + c.describe(e)
}

func (f *findings) compareProfiles(d, inForce *Document) {
	compareList(f, comparison[Profile]{
		list: Profiles, now: d.Profiles, before: inForce.Profiles, name: func(p *Profile) string { return p.Name },
		change: func(place Place, now, before *Profile) {
			for _, v := range []value{
				{FieldHost, now.Host, before.Host},
				{FieldPathPrefix, now.PathPrefix, before.PathPrefix},
				{FieldKind, now.Kind, before.Kind},
				{FieldTimeLimit, now.TimeLimit, before.TimeLimit},
				{FieldObjective, now.Objective, before.Objective},
				{FieldMaxGap, now.MaxGap, before.MaxGap},
				{FieldPriority, now.Priority, before.Priority},
				{FieldTrafficSplit, splitText(now.TrafficSplit), splitText(before.TrafficSplit)},
				{FieldAttempts, now.MaxAttempts, before.MaxAttempts},
				{FieldPublic, now.Public, before.Public},
				{FieldResumable, now.Resumable, before.Resumable},
			} {
				f.compareValue(place.field(v.field), v.now, v.before)
			}
		},
	})
}

func (f *findings) compareServices(d, inForce *Document) {
	compareList(f, comparison[Service]{
		list: Services, now: d.Services, before: inForce.Services, name: func(s *Service) string { return s.Name },
		change: func(place Place, now, before *Service) {
			f.compareValue(place.field(FieldHealthPath), now.HealthPath, before.HealthPath)
			f.compareValue(place.field(FieldMaxConnections), now.MaxConnections, before.MaxConnections)
			f.compareValue(place.field(FieldColdRate), now.ColdRate, before.ColdRate)
			switch {
			case now.Engine == nil && before.Engine != nil:
				f.add(Difference, place.field(FieldEngine), "removed: the service becomes a plain one")
			case now.Engine != nil && before.Engine == nil:
				f.add(Difference, place.field(FieldEngine), "added: the service becomes one of model engines")
			case !reflect.DeepEqual(now.Engine, before.Engine):
				f.add(Difference, place.field(FieldEngine), "changed")
			}
		},
	})
}

func (f *findings) compareTeams(d, inForce *Document) {
	if d.HasTeams != inForce.HasTeams {
		message := "added: callers need a key"
		if !d.HasTeams {
			message = "removed: callers need no key"
		}
		f.add(Difference, document(FieldTeams), "%s", message)
	}
	compareList(f, comparison[Team]{
		list: Teams, now: d.Teams, before: inForce.Teams, name: func(t *Team) string { return t.Name },
		describe: func(t *Team) string { return strconv.Itoa(countMissing(t.Keys, nil)) + " keys" },
		change: func(place Place, now, before *Team) {
			if now.HasPriority != before.HasPriority || now.Priority != before.Priority {
				f.add(Difference, place.field(FieldPriority), "changed from %s to %s", priorityText(before), priorityText(now))
			}
			added, removed := countMissing(now.Keys, before.Keys), countMissing(before.Keys, now.Keys)
			if added > 0 || removed > 0 {
				f.add(Difference, place.field(FieldKeys), "%d added, %d removed", added, removed)
			}
		},
	})
}

func splitText(split []fleet.WeightedService) string {
	var parts []string
	for _, s := range split {
		parts = append(parts, fmt.Sprintf("%q %d", s.Service, s.Weight))
	}
	return strings.Join(parts, ", ")
}

func priorityText(t *Team) string {
	if !t.HasPriority {
		return "none"
	}
	return strconv.Itoa(t.Priority)
}

// countMissing returns how many different keys of a list are not in another one.
func countMissing(keys, others []string) int {
	known := make(map[string]bool)
	for _, key := range others {
		known[key] = true
	}
	count := 0
	for _, key := range keys {
		if !known[key] {
			known[key] = true
			count++
		}
	}
	return count
}
