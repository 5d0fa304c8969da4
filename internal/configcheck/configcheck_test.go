package configcheck_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/configcheck"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestConfigcheck(t *testing.T) { testkit.RunSpecs(t, "configcheck") }

// names give each list and field a short name of its own.
var names = configcheck.Names{
	Lists: map[configcheck.List]string{configcheck.Profiles: "P", configcheck.Services: "S", configcheck.Teams: "T"},
	Fields: map[configcheck.Field]string{
		configcheck.FieldVersion: "version", configcheck.FieldName: "name", configcheck.FieldHost: "host", configcheck.FieldPathPrefix: "prefix",
		configcheck.FieldKind: "kind", configcheck.FieldTimeLimit: "limit", configcheck.FieldObjective: "objective",
		configcheck.FieldMaxGap: "gap", configcheck.FieldPriority: "priority", configcheck.FieldService: "service",
		configcheck.FieldTrafficSplit: "split", configcheck.FieldWeight: "weight", configcheck.FieldAttempts: "attempts",
		configcheck.FieldPublic: "public", configcheck.FieldResumable: "resumable", configcheck.FieldHealthPath: "health",
		configcheck.FieldMaxConnections: "connections", configcheck.FieldColdRate: "cold", configcheck.FieldEngine: "engine",
		configcheck.FieldKeys: "keys", configcheck.FieldTeams: "teams", configcheck.FieldMaxHeaderBytes: "header-bytes",
		configcheck.FieldMaxBodyBytes: "body-bytes", configcheck.FieldHeadTimeout: "head-timeout", configcheck.FieldIdleTimeout: "idle-timeout",
	},
}

const secret = "the-text-of-a-key"

// sound returns a document without findings.
func sound() *configcheck.Document {
	return &configcheck.Document{
		Version: 2, HasTeams: true,
		Profiles: []configcheck.Profile{
			{Profile: fleet.Profile{
				Name: "chat", Host: "api.example", PathPrefix: "/chat/", Kind: fleet.Streaming, TimeLimit: 10 * time.Second, Objective: time.Second,
				MaxGap: 250 * time.Millisecond, MaxAttempts: 2, Resumable: true, TrafficSplit: []fleet.WeightedService{{Service: "llm", Weight: 1}},
			}},
			{HasSplit: true, Profile: fleet.Profile{
				Name: "book", Host: "api.example", PathPrefix: "/book/", Kind: fleet.NonIdempotent, TimeLimit: time.Second, Objective: time.Second,
				MaxAttempts: 1, TrafficSplit: []fleet.WeightedService{{Service: "web", Weight: 3}, {Service: "llm", Weight: 1}},
			}},
		},
		Services: []configcheck.Service{
			{Service: fleet.Service{Name: "llm", ColdRate: 36, Engine: &fleet.Engine{Slots: 16}}, ColdStart: 3 * time.Second},
			{Service: fleet.Service{Name: "web"}},
		},
		Teams: []configcheck.Team{
			{Team: fleet.Team{Name: "a"}, Keys: []string{secret}}, {Team: fleet.Team{Name: "b"}, Keys: []string{"k2", "k3"}},
		},
	}
}

func texts(list []configcheck.Finding) []string {
	var all []string
	for _, f := range list {
		all = append(all, f.Severity.String()+" "+f.Place.Text(names)+": "+f.Message)
	}
	return all
}

// changed returns a sound document after a change.
func changed(change func(*configcheck.Document)) *configcheck.Document {
	d := sound()
	change(d)
	return d
}

type document = configcheck.Document

var _ = Describe("the check of a document", func() {
	// Guards against findings about sound documents, which operators would learn to ignore.
	It("finds nothing in a sound one", func() {
		Expect(texts(configcheck.Check(sound()))).To(BeEmpty())
		Expect(texts(configcheck.Compare(changed(func(d *document) { d.Version++ }), sound()))).To(BeEmpty())
	})

	// Guards against a document that is published with a fault, and against a finding without its place.
	DescribeTable("finds", func(change func(*document), want string) {
		found := texts(configcheck.Check(changed(change)))
		Expect(found).To(HaveLen(1))
		Expect(found[0]).To(HavePrefix(want))
	},
		Entry("a missing version", func(d *document) { d.Version = 0 }, "error version: must be"),
		Entry("a route that is shadowed by an equal one", func(d *document) { d.Profiles[1].PathPrefix = "/chat/" },
			`error P[1] "book": never matches: entry 0`),
		Entry("two entries of one name", func(d *document) { d.Profiles[1].Name = "chat" }, `warning P[1] "chat".name: entry 0`),
		Entry("a missing host", func(d *document) { d.Profiles[0].Host = "" }, `warning P[0] "chat".host: never matches`),
		Entry("a host in upper case", func(d *document) { d.Profiles[0].Host = "API.example" }, `warning P[0] "chat".host: never matches`),
		Entry("a host with a port", func(d *document) { d.Profiles[0].Host = "a:80" }, `warning P[0] "chat".host: never matches`),
		Entry("a prefix without a slash", func(d *document) { d.Profiles[0].PathPrefix = "chat/" }, `warning P[0] "chat".prefix: never`),
		Entry("a prefix with a query", func(d *document) { d.Profiles[0].PathPrefix = "/chat/?a" }, `warning P[0] "chat".prefix: never`),
		Entry("a prefix without its last slash", func(d *document) { d.Profiles[0].PathPrefix = "/chat" }, `warning P[0] "chat".prefix: does not`),
		Entry("an unknown kind", func(d *document) {
			d.Profiles[0].Kind, d.Profiles[0].MaxGap, d.Profiles[0].Resumable = "batch", 0, false
		},
			`error P[0] "chat".kind: unknown`),
		Entry("a negative time", func(d *document) { d.Profiles[0].Objective = -1 }, `error P[0] "chat": a time`),
		Entry("a time limit below the objective", func(d *document) { d.Profiles[1].TimeLimit = 999 * time.Millisecond },
			`warning P[1] "book".limit: 999ms is below the objective of 1s`),
		Entry("a max gap above the time limit", func(d *document) { d.Profiles[0].MaxGap = 11 * time.Second }, `warning P[0] "chat".gap: 11s`),
		Entry("a max gap without a stream", func(d *document) { d.Profiles[1].MaxGap = time.Second }, `warning P[1] "book".gap: has no effect`),
		Entry("a resumption without a stream", func(d *document) { d.Profiles[1].Resumable = true }, `warning P[1] "book".resumable: has no`),
		Entry("attempts of a request that runs once", func(d *document) { d.Profiles[1].MaxAttempts = 2 }, `warning P[1] "book".attempts: is 2`),
		Entry("a negative priority", func(d *document) { d.Profiles[1].Priority = -1 }, `warning P[1] "book".priority: is -1`),
		Entry("an unknown service", func(d *document) { d.Profiles[0].TrafficSplit[0].Service = "gone" },
			`error P[0] "chat".service: there is no service "gone"`),
		Entry("an unknown service of a split", func(d *document) { d.Profiles[1].TrafficSplit[1].Service = "gone" },
			`error P[1] "book".split[1].service: there is no`),
		Entry("a weight of zero", func(d *document) { d.Profiles[1].TrafficSplit[1].Weight = 0 }, `warning P[1] "book".split[1].weight: is zero`),
		Entry("a negative weight", func(d *document) { d.Profiles[1].TrafficSplit[1].Weight = -1 }, `error P[1] "book".split[1].weight: is neg`),
		Entry("a service without routes", func(d *document) {
			d.Services = append(d.Services, configcheck.Service{Service: fleet.Service{Name: "x"}})
		},
			`warning S[2] "x": gets no requests`),
		Entry("two services of one name", func(d *document) { d.Services = append(d.Services, d.Services[0]) }, `error S[2] "llm".name: entry 0`),
		Entry("a cold rate of zero with a cold start", func(d *document) { d.Services[0].ColdRate = 0 }, `warning S[0] "llm".cold: is zero`),
		Entry("priorities beyond what engines distinguish", manyPriorities, `warning S[0] "llm": priorities give its requests 12 ranks`),
		Entry("a team without a key", func(d *document) { d.Teams[1].Keys = nil }, `warning T[1] "b".keys: has no keys`),
		Entry("two teams of one name", func(d *document) { d.Teams[1].Name = "a" }, `warning T[1] "a".name: entry 0`),
		Entry("a key of two teams", func(d *document) { d.Teams[1].Keys[1] = secret }, `error T[1] "b".keys[1]: is also a key of entry 0`),
		Entry("a key that occurs twice", func(d *document) { d.Teams[1].Keys[1] = "k2" }, `warning T[1] "b".keys[1]: occurs twice`),
		Entry("an empty key", func(d *document) { d.Teams[1].Keys[1] = "" }, `error T[1] "b".keys[1]: is empty`),
	)

	// Guards against callers that are all refused after a publication.
	It("finds profiles without callers", func() {
		found := texts(configcheck.Check(changed(func(d *document) { d.Teams = nil })))
		Expect(found).To(HaveLen(2))
		Expect(found[0]).To(HavePrefix(`warning P[0] "chat".public: no caller is admitted`))
	})

	// Guards against a check that stops at the first finding, and against an order that changes between two runs.
	It("returns all findings together, sorted", func() {
		d := changed(func(d *document) {
			d.Teams[1].Keys = nil
			d.Services[0].ColdRate = 0
			d.Profiles[1].PathPrefix, d.Profiles[1].MaxAttempts = "/chat/", 3
			d.Profiles[0].Kind = "batch"
		})
		first := texts(configcheck.Check(d))
		var places []string
		for _, text := range first {
			places = append(places, text[:strings.Index(text, ": ")])
		}
		Expect(places).To(Equal([]string{
			`error P[0] "chat".kind`, `error P[1] "book"`, `warning P[0] "chat".gap`, `warning P[0] "chat".resumable`,
			`warning P[1] "book".attempts`, `warning S[0] "llm".cold`, `warning T[1] "b".keys`,
		}))
		for range 20 {
			Expect(texts(configcheck.Check(d))).To(Equal(first))
		}
	})
})

// manyPriorities gives the model service twelve different priorities.
func manyPriorities(d *document) {
	for i := range 11 {
		p := d.Profiles[0]
		p.Name, p.PathPrefix, p.Priority = "more"+string(rune('a'+i)), "/more"+string(rune('a'+i))+"/", i+1
		d.Profiles = append(d.Profiles, p)
	}
}

var _ = Describe("the comparison with the version in force", func() {
	// Guards against a change that an operator does not see before it is in force.
	DescribeTable("states", func(change func(*document), want ...string) {
		d := changed(func(d *document) {
			d.Version = 3
			change(d)
		})
		Expect(texts(configcheck.Compare(d, sound()))).To(Equal(want))
	},
		Entry("a version that does not rise", func(d *document) { d.Version = 2 }, "error version: is 2 and does not rise: the version in force is 2"),
		Entry("an added route", func(d *document) {
			d.Profiles = append(d.Profiles, configcheck.Profile{Profile: fleet.Profile{Name: "new"}})
		},
			`difference P[2] "new": added`),
		Entry("a removed route", func(d *document) { d.Profiles = d.Profiles[1:] }, `difference P "chat": removed`),
		Entry("a changed route", func(d *document) { d.Profiles[0].TimeLimit, d.Profiles[0].Priority = time.Second, 4 },
			`difference P[0] "chat".limit: changed from 10s to 1s`, `difference P[0] "chat".priority: changed from 0 to 4`),
		Entry("a changed split", func(d *document) { d.Profiles[1].TrafficSplit[0].Weight = 5 },
			`difference P[1] "book".split: changed from "web" 3, "llm" 1 to "web" 5, "llm" 1`),
		Entry("a service that becomes a plain one", func(d *document) { d.Services[0].Engine = nil },
			`difference S[0] "llm".engine: removed: the service becomes a plain one`),
		Entry("a changed engine", func(d *document) { d.Services[0].Engine = &fleet.Engine{Slots: 17} }, `difference S[0] "llm".engine: changed`),
		Entry("a changed rate", func(d *document) { d.Services[0].ColdRate = 1.5 }, `difference S[0] "llm".cold: changed from 36 to 1.5`),
		Entry("an added and a removed team", func(d *document) { d.Teams[1].Name = "c" },
			`difference T[1] "c": added, 2 keys`, `difference T "b": removed, 2 keys`),
		Entry("changed keys", func(d *document) { d.Teams[1].Keys = []string{"k2", secret + "2", "k4"} },
			`difference T[1] "b".keys: 2 added, 1 removed`),
		Entry("a priority", func(d *document) { d.Teams[0].HasPriority = true }, `difference T[0] "a".priority: changed from none to 0`),
		Entry("the end of the keys", func(d *document) { d.HasTeams = false }, `difference teams: removed: callers need no key`),
		Entry("limits", func(d *document) { d.Limits.IdleTimeout = time.Second }, `difference idle-timeout: changed from 0s to 1s`),
	)

	// Guards against keys in the output of a check, which is stored in logs and tickets.
	It("contains no text of a key", func() {
		d := changed(func(d *document) {
			d.Teams[0].Keys = []string{secret, secret, "other" + secret}
			d.Teams[1].Keys = []string{secret}
			d.Teams = append(d.Teams, configcheck.Team{Team: fleet.Team{Name: "c"}, Keys: []string{secret + "3"}})
		})
		all := append(texts(configcheck.Check(d)), texts(configcheck.Compare(d, sound()))...)
		Expect(len(all)).To(BeNumerically(">=", 4))
		Expect(strings.Join(all, "\n")).NotTo(ContainSubstring(secret))
	})
})
