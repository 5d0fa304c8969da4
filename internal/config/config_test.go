package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestConfig(t *testing.T) { testkit.RunSpecs(t, "config") }

const document = `revision: 7
domains:
  - {name: nadi-yard, region: viti-west}
  - name: quitumbe
    region: sierra
models:
  - name: turf-8b
services:
  - name: turf-assist
    kind: model
    region: viti-west
    model: turf-8b
    warm: {streams: 16, tokens: 400000}
    cold: {streams: 2, tokens: 40000}
    prefill_rate: 50000
  - name: round-desk
    kind: plain
    region: viti-west
    warm: {streams: 32}
    cold: {streams: 4}
endpoints:
  - name: engine-1
    service: turf-assist
    address: 127.0.0.1:21300
    domain: nadi-yard
  - {name: engine-2, service: turf-assist, address: "127.0.0.1:21301", domain: nadi-yard, fencing: enforced}
  - {name: desk-1, service: round-desk, address: "127.0.0.1:21400", domain: nadi-yard}
profiles:
  - name: turf-old
    service: turf-assist
    default_budget: 30s
    max_budget: 5m
    max_output_tokens: 4096
    group: 2
  - name: desk
    service: round-desk
    default_budget: 5s
    max_budget: 10s
teams:
  - name: field-leads
  - name: planners
    weight: 4
`

const instances = `revision: 3
instances:
  - name: nadi-1
    domain: nadi-yard
    region: viti-west
    peer: 127.0.0.1:21100
    gateway: 127.0.0.1:21000
    operators: 127.0.0.1:21200
  - {name: nadi-2, domain: nadi-yard, region: viti-west, peer: "127.0.0.1:21101", gateway: "127.0.0.1:21001", operators: "127.0.0.1:21201"}
`

func findings(err error) []string {
	var all *config.FindingsError
	Expect(errors.As(err, &all)).To(BeTrue(), "%v", err)
	var lines []string
	for _, f := range all.Findings {
		lines = append(lines, f.String())
	}
	return lines
}

// edit replaces the first occurrence of old, which must exist. If old is empty, it appends the replacement.
func edit(source, old, replacement string) []byte {
	if old == "" {
		return []byte(source + replacement)
	}
	Expect(source).To(ContainSubstring(old))
	return []byte(strings.Replace(source, old, replacement, 1))
}

var _ = Describe("Parse", func() {
	// Guards against omitted fields that stay zero, and against explicit values that are overwritten by defaults.
	It("fills in defaults and keeps explicit values", func() {
		ix, err := config.Parse([]byte(document))
		Expect(err).NotTo(HaveOccurred())
		Expect(ix.Revision()).To(Equal(uint64(7)))
		Expect(ix.Team("field-leads").Weight).To(Equal(1))
		Expect(ix.Team("planners").Weight).To(Equal(4))
		Expect(ix.Service("turf-assist").LongPrefills).To(Equal(1))
		Expect(*ix.Service("turf-assist").ShortShare).To(Equal(0.25))
		Expect(ix.Endpoint("engine-1").Fencing).To(Equal(config.FencingIgnored))
		Expect(ix.Endpoint("engine-2").Fencing).To(Equal(config.FencingEnforced))
		Expect(ix.Profile("turf-old").MaxBudget.Std()).To(Equal(5 * time.Minute))
	})

	// Each entry is a mistake that operators can publish. Guards against documents that are accepted despite the
	// mistake, and against findings with a missing or wrong location.
	DescribeTable("reports the location of a mistake", func(old, replacement string, want ...string) {
		_, err := config.Parse(edit(document, old, replacement))
		Expect(findings(err)).To(Equal(want))
	},
		Entry("unknown field", "    kind: model", "    kind: model\n    kinds: model",
			"11:5: services[0].kinds: unknown field"),
		Entry("unknown section", "", "shards: []\n", "43:1: shards: unknown field"),
		Entry("string for a number", "weight: 4", "weight: four",
			"42:13: teams[1].weight: must be an integer, not a string"),
		Entry("number for a name", "turf-8b\nservices", "8\nservices",
			"7:11: models[0].name: must be a string, not an integer",
			`12:12: services[0].model: no entry of models has the name "turf-8b"`),
		Entry("list for a mapping", "{streams: 32}", "[32]",
			"19:11: services[1].warm: must be a mapping, not a list"),
		Entry("mapping for a list", "models:\n  - name: turf-8b", "models:\n  name: turf-8b",
			"7:3: models: must be a list, not a mapping"),
		Entry("fraction for an integer", "group: 2", "group: 1.5",
			"34:12: profiles[0].group: must be an integer, not a number"),
		Entry("integer out of range", "tokens: 400000", "tokens: 99999999999999999999",
			"13:33: services[0].warm.tokens: must be an integer, not a number"),
		Entry("negative revision", "revision: 7", "revision: -7",
			"1:11: revision: must be an integer of at least 0 in the range of its type"),
		Entry("zero revision", "revision: 7", "revision: 0", "1:11: revision: must be at least 1"),
		Entry("null", "weight: 4", "weight:", "42:12: teams[1].weight: has no value"),
		Entry("duplicate name", "engine-2", "engine-1",
			`26:12: endpoints[1].name: "engine-1" is already the name of the entry at line 22`),
		Entry("upper-case name", "field-leads", "Field Leads", "40:11: teams[0].name: must be 1 to 63 lower-case "+
			"letters, digits, dots, underscores or hyphens and start with a letter or digit"),
		Entry("unknown service", "service: round-desk\n", "service: desk\n",
			`36:14: profiles[1].service: no entry of services has the name "desk"`),
		Entry("unknown domain", "domain: nadi-yard\n", "domain: lautoka-yard\n",
			`25:13: endpoints[0].domain: no entry of domains has the name "lautoka-yard"`),
		Entry("domain of another region", "domain: nadi-yard\n", "domain: quitumbe\n",
			`25:13: endpoints[0].domain: domain quitumbe is in region "sierra", but service turf-assist is in region `+
				`"viti-west"`),
		Entry("region without a domain", "kind: plain\n    region: viti-west", "kind: plain\n    region: viti",
			`18:13: services[1].region: no domain is in region "viti"`,
			`27:77: endpoints[2].domain: domain nadi-yard is in region "viti-west", but service round-desk is in `+
				`region "viti"`),
		Entry("missing field", "    max_budget: 5m\n", "", "29:5: profiles[0].max_budget: the field is missing"),
		Entry("missing section", "teams:\n  - name: field-leads\n  - name: planners\n    weight: 4\n", "",
			"1:1: teams: the field is missing"),
		Entry("bad duration", "5m", "5 minutes",
			`32:17: profiles[0].max_budget: "5 minutes" is not a duration such as "30s"`),
		Entry("duration without unit", "5m", "300",
			"32:17: profiles[0].max_budget: must be a string, not an integer"),
		Entry("negative budget", "30s", "-30s", "31:21: profiles[0].default_budget: must be from 1ms to 24h0m0s"),
		Entry("budget above the limit", "5m", "90000h", "32:17: profiles[0].max_budget: must be from 1ms to 24h0m0s"),
		Entry("default budget above the maximum", "30s", "30m",
			"31:21: profiles[0].default_budget: must not be above max_budget (5m0s)"),
		Entry("negative streams", "{streams: 4}", "{streams: -4}",
			"20:21: services[1].cold.streams: must be from 1 to 100000"),
		Entry("zero weight", "weight: 4", "weight: 0", "42:13: teams[1].weight: must be from 1 to 1000000"),
		Entry("output above the limit", "4096", "50000000",
			"33:24: profiles[0].max_output_tokens: must be from 1 to 10000000",
			"33:24: profiles[0].max_output_tokens: must not be above the memory of one endpoint of service "+
				"turf-assist (400000 tokens)"),
		Entry("prefill rate not a number", "50000\n", ".nan\n",
			"15:19: services[0].prefill_rate: must be above 0 and at most 1000000000 tokens per second"),
		Entry("cold limit above warm limit", "cold: {streams: 2, tokens: 40000}", "cold: {streams: 20, tokens: 500000}",
			"14:21: services[0].cold.streams: must not be above warm.streams (16)",
			"14:33: services[0].cold.tokens: must not be above warm.tokens (400000)"),
		Entry("host name for an address", "127.0.0.1:21300", "engine-1.vanua:80",
			`24:14: endpoints[0].address: "engine-1.vanua:80" is not IP:port`),
		Entry("address without port", "127.0.0.1:21300", "127.0.0.1",
			`24:14: endpoints[0].address: "127.0.0.1" is not IP:port`),
		Entry("unspecified address", "127.0.0.1:21300", "0.0.0.0:80",
			`24:14: endpoints[0].address: "0.0.0.0:80" is not IP:port`),
		Entry("address used twice", "127.0.0.1:21301", "127.0.0.1:21300",
			"26:53: endpoints[1].address: 127.0.0.1:21300 is already used by endpoints[0].address at line 24"),
		Entry("empty service", "service: round-desk, ", "service: turf-assist, ",
			`16:11: services[1].name: no endpoint belongs to service "round-desk"`),
		Entry("share above 1", "    prefill_rate", "    short_share: 1.5\n    prefill_rate",
			"15:18: services[0].short_share: must be from 0 to 1"),
		Entry("negative share", "    prefill_rate", "    short_share: -0.1\n    prefill_rate",
			"15:18: services[0].short_share: must be from 0 to 1"),
		Entry("group above the number of endpoints", "group: 2", "group: 3",
			"34:12: profiles[0].group: service turf-assist has only 2 endpoints"),
		Entry("group of one", "group: 2", "group: 1", "34:12: profiles[0].group: must be 0 or at least 2"),
		Entry("group on a plain service", "10s\n", "10s\n    group: 2\n",
			"39:12: profiles[1].group: is for profiles of model services only"),
		Entry("engine limits on a plain service", "warm: {streams: 32}", "warm: {streams: 32, tokens: 9}\n    prefill_rate: 5",
			"19:33: services[1].warm.tokens: is for model services only",
			"20:19: services[1].prefill_rate: is for model services only"),
		Entry("undecodable section without follow-up findings", document[strings.Index(document, "endpoints:"):strings.Index(document, "profiles:")], "endpoints: none\n",
			"21:12: endpoints: must be a list, not a string"),
		Entry("unknown kind", "kind: plain", "kind: simple", "17:11: services[1].kind: must be model or plain"),
		Entry("unknown fencing", "enforced", "strict", "26:100: endpoints[1].fencing: must be enforced or ignored"),
		Entry("duplicate key", "    weight: 4\n", "    weight: 4\n    weight: 5\n",
			"43:5: teams[1].weight: the field appears twice"),
		Entry("anchor and alias", "{name: nadi-yard, region: viti-west}\n", "&d {name: nadi-yard, region: viti-west}\n  - *d\n",
			"3:5: domains[0]: anchors are not allowed", "4:5: domains[1]: aliases are not allowed",
			`12:13: services[0].region: no domain is in region "viti-west"`,
			`19:13: services[1].region: no domain is in region "viti-west"`,
			`26:13: endpoints[0].domain: no entry of domains has the name "nadi-yard"`,
			`27:80: endpoints[1].domain: no entry of domains has the name "nadi-yard"`,
			`28:77: endpoints[2].domain: no entry of domains has the name "nadi-yard"`),
		Entry("not UTF-8", "field-leads", "f\xe9ld", "40:12: the document is not valid UTF-8"),
		Entry("second document", "", "---\nrevision: 8\n", "43:1: the file contains more than one YAML document"),
		Entry("unclosed list", "", "models: [a,\n", "43:1: not valid YAML: did not find expected node content"),
		Entry("unclosed quote", "name: turf-old", "name: 'turf-old", "29:3: not valid YAML: found unexpected end of stream"),
		Entry("wrong indentation", "    kind: plain", "   kind: plain", "17:4: not valid YAML: did not find expected '-' indicator"),
		Entry("unknown anchor", "kind: plain", "kind: *plain", "17:5: not valid YAML: unknown anchor 'plain' referenced"),
		Entry("tab indentation", "    weight: 4", "\tweight: 4",
			"42:2: not valid YAML: found a tab character that violates indentation"),
	)

	// Guards against a document that the parser accepts but that is too large for the configuration service.
	It("rejects a document of more than 1 MB", func() {
		padding := "#" + strings.Repeat("x", config.MaxDocumentBytes-len(document)-1)
		_, err := config.Parse([]byte(document + padding))
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Parse([]byte(document + padding + "x"))
		Expect(findings(err)).To(Equal([]string{"1:1: the document has more than 1000000 bytes"}))
	})

	// Guards against small documents whose nested aliases expand to gigabytes.
	It("rejects an alias bomb without expanding it", func() {
		bomb := "revision: 1\nteams:\n  - &a [x,x,x,x,x,x,x,x,x]\n"
		for level := 'b'; level <= 'z'; level++ {
			bomb += "  - &" + string(level) + " [" + strings.Repeat("*"+string(level-1)+",", 9) + "]\n"
		}
		_, err := config.Parse([]byte(bomb))
		Expect(findings(err)).To(ContainElement("3:5: teams[0]: anchors are not allowed"))
	})

	// Guards against an error message of several megabytes, from a document with a mistake in each line.
	It("bounds the number of findings", func() {
		_, err := config.Parse([]byte(strings.Repeat("a: 1\n", 10_000)))
		var all *config.FindingsError
		Expect(errors.As(err, &all)).To(BeTrue())
		Expect(all.Findings).To(HaveLen(200))
		Expect(all.Omitted).To(BeNumerically(">", 9_000))
	})
})

var _ = Describe("ParseInstances", func() {
	// Guards against fields that stay empty because their YAML name differs from the published one.
	It("decodes a list", func() {
		list, err := config.ParseInstances([]byte(instances))
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Instances).To(HaveLen(2))
		Expect(list.Instances[0].PeerAddress).To(Equal("127.0.0.1:21100"))
	})

	// Guards against an invalid list that is accepted and changes the voter sets.
	DescribeTable("reports the location of a mistake", func(old, replacement string, want ...string) {
		_, err := config.ParseInstances(edit(instances, old, replacement))
		Expect(findings(err)).To(Equal(want))
	},
		Entry("duplicate name", "nadi-2", "nadi-1",
			`9:12: instances[1].name: "nadi-1" is already the name of the entry at line 3`),
		Entry("shared address", "127.0.0.1:21101", "127.0.0.1:21200",
			"9:64: instances[1].peer: 127.0.0.1:21200 is already used by instances[0].operators at line 8"),
		Entry("host name", "127.0.0.1:21100", "localhost:21100",
			`6:11: instances[0].peer: "localhost:21100" is not IP:port`),
		Entry("missing address", "    gateway: 127.0.0.1:21000\n", "",
			"3:5: instances[0].gateway: the field is missing"),
		Entry("domain in two regions", "region: viti-west, ", "region: sierra, ",
			`9:47: instances[1].region: domain nadi-yard is in region "viti-west" in an earlier entry`),
		Entry("missing revision", "revision: 3\n", "", "1:1: revision: the field is missing"),
		Entry("a configuration document", instances, "revision: 1\nteams: []\n",
			"1:1: instances: the field is missing", "2:1: teams: unknown field"),
	)
})
