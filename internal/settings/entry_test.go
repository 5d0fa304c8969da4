package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/settings"
)

// fields maps the placeholders of the settings template to the values that the platform inserts.
type fields map[string]string

// usualFields returns the fields of a typical deployment.
func usualFields() fields {
	return fields{
		"node": `"front-1"`, "zone": `"yard-1"`, "region": `"west"`,
		"listen.front": `"10.1.0.40:8227"`, "listen.readiness": `"10.1.0.40:8220"`, "listen.control": `"10.1.0.40:8229"`,
		"ip": "10.1.0.40", "platform.address": `"10.200.1.7:8223"`, "seeds": `["10.1.0.40:8229","10.2.0.29:8229"]`,
		"bounds.grace-s": "8", "bounds.strict-revocation": "true", "bounds.revoke-ms": "5000",
		"bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-slack": "102", "bounds.budget-window-s": "10",
		"bounds.cold-burst-factor": "1.5", "bounds.cold-slack": "5",
		"limits.cpu-share": "0.4", "limits.memory-mb": "284", "limits.max-fds": "4200",
	}
}

// with sets a field; an empty value means that the deployment does not set it.
func (f fields) with(name, value string) fields {
	f[name] = value
	return f
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// render returns the settings file that the platform generates from the template in deploy/. Sections whose field is empty
// or false are left out.
func (f fields) render() string {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml.tmpl"))
	Expect(err).NotTo(HaveOccurred())
	text := section.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := section.FindStringSubmatch(match)
		Expect(parts[3]).To(Equal(parts[1]))
		if value := f[parts[1]]; value == "" || value == "false" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(name string) string {
		name = strings.TrimSuffix(strings.Trim(name, "{}"), "|json")
		value, known := f[name]
		Expect(known).To(BeTrue(), "placeholder %s", name)
		return value
	})
}

// published is what operators have published about every service.
type published struct{ isRanked, hasTightGaps bool }

func (p published) IsRanked(string) bool     { return p.isRanked }
func (p published) HasTightGaps(string) bool { return p.hasTightGaps }

var _ = Describe("the settings of acacia-entry", func() {
	// Guards against a settings template in deploy/ that the process rejects.
	It("are read from the deployment's template", func() {
		s, err := settings.ParseEntry("local", []byte(usualFields().render()))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Instance).To(Equal("front-1"))
		Expect(s.Domain).To(Equal("yard-1"))
		Expect(s.Seeds).To(HaveLen(2))
		Expect(s.Bounds.StrictRevocation).To(BeTrue())
		Expect(s.Bounds.RetryRatio).To(Equal(0.2))
	})

	// Guards against a default in place of an invalid setting, and against a report that ends at the first finding.
	It("are rejected with all findings at once", func() {
		text := usualFields().render()
		for from, to := range map[string]string{
			"retry_ratio: 0.2": "retry_ratio: 2", "revocation_time: 5000ms": "revocation_time: soon",
			`callers: "10.1.0.40:8227"`: `callers: "here"`, "least_instances: 12": "least_instances: 0",
			"queue: auto": "queue: sometimes", "pace: auto": "pace: fast",
		} {
			Expect(text).To(ContainSubstring(from))
			text = strings.Replace(text, from, to, 1)
		}
		_, err := settings.ParseEntry("local", []byte(text))
		Expect(err).To(HaveOccurred())
		for _, path := range []string{"bounds.retry_ratio", "bounds.revocation_time", "addresses.callers", "bounds.least_instances", "scheduling.queue", "scheduling.pace"} {
			Expect(err.Error()).To(ContainSubstring(path))
		}
	})

	// Guards against scheduling that takes effect where neither the settings nor what operators publish ask for it.
	DescribeTable("enable a part of the scheduling", func(mode settings.Mode, unranked, tight, ranked bool) {
		Expect(mode.Enabled(published{}, "model")).To(Equal(unranked))
		Expect(mode.Enabled(published{hasTightGaps: true}, "model")).To(Equal(tight))
		Expect(mode.Enabled(published{isRanked: true}, "model")).To(Equal(ranked))
	},
		Entry("missing", settings.Mode(""), false, false, false),
		Entry("off", settings.ModeOff, false, false, false),
		Entry("by priority", settings.ModeByPriority, false, false, true),
		Entry("auto", settings.ModeAuto, false, true, true),
		Entry("on", settings.ModeOn, true, true, true),
	)

	// Guards against a part that is on by default.
	It("leave the scheduling off if they state no mode", func() {
		text := regexp.MustCompile(`(?m)^scheduling:.*$`).ReplaceAllString(usualFields().render(), "")
		s, err := settings.ParseEntry("local", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Scheduling).To(Equal(settings.EntryScheduling{
			Queue: settings.ModeOff, ReturnTimes: settings.ModeOff, Pace: settings.ModeOff,
		}))
	})

	// Guards against a template that renders to invalid settings if a deployment sets no bounds and limits.
	It("are read from a template without bounds and limits", func() {
		f := usualFields()
		for name := range f {
			if strings.HasPrefix(name, "bounds.") || strings.HasPrefix(name, "limits.") {
				delete(f, name)
			}
		}
		_, err := settings.ParseEntry("local", []byte(f.render()))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against processes that cannot start because a number is a fraction, zero or missing. A fractional retry slack
	// once prevented every process of a small deployment from starting.
	DescribeTable("accept fractions, zeros and missing numbers", func(name, value string, check func(*settings.Entry) any, want any) {
		s, err := settings.ParseEntry("local", []byte(usualFields().with(name, value).render()))
		Expect(err).NotTo(HaveOccurred())
		Expect(check(s)).To(Equal(want))
	},
		Entry("stop grace, fraction", "bounds.grace-s", "7.5", stopGrace, 7500*time.Millisecond),
		Entry("stop grace, missing", "bounds.grace-s", "", stopGrace, 8*time.Second),
		Entry("strict revocation, false", "bounds.strict-revocation", "false", strictRevocation, false),
		Entry("strict revocation, missing", "bounds.strict-revocation", "", strictRevocation, false),
		Entry("revocation time, fraction", "bounds.revoke-ms", "4500.0", revocationTime, 4500*time.Millisecond),
		Entry("revocation time, missing", "bounds.revoke-ms", "", revocationTime, 5*time.Second),
		Entry("retry ratio, zero", "bounds.retry-budget-ratio", "0", retryRatio, 0.0),
		Entry("retry ratio, missing", "bounds.retry-budget-ratio", "", retryRatio, 0.0),
		Entry("retry slack, fraction", "bounds.retry-budget-slack", "34.7", retrySlack, 34.7),
		Entry("retry slack, zero", "bounds.retry-budget-slack", "0", retrySlack, 0.0),
		Entry("retry slack, missing", "bounds.retry-budget-slack", "", retrySlack, 0.0),
		Entry("retry window, fraction", "bounds.budget-window-s", "2.5", retryWindow, 2500*time.Millisecond),
		Entry("retry window, missing", "bounds.budget-window-s", "", retryWindow, 10*time.Second),
		Entry("cold factor, integer", "bounds.cold-burst-factor", "2", coldFactor, 2.0),
		Entry("cold factor, missing", "bounds.cold-burst-factor", "", coldFactor, 1.0),
		Entry("cold slack, fraction", "bounds.cold-slack", "0.5", coldSlack, 0.5),
		Entry("cold slack, missing", "bounds.cold-slack", "", coldSlack, 0.0),
		Entry("processor share, integer", "limits.cpu-share", "1", processorShare, 1.0),
		Entry("memory, fraction", "limits.memory-mb", "184.5", memoryMB, 184.5),
		Entry("descriptors, large", "limits.max-fds", "1048576", descriptors, 1048576.0),
		Entry("processor share, missing", "limits.cpu-share", "", processorShare, 0.0),
		Entry("memory, missing", "limits.memory-mb", "", memoryMB, 0.0),
		Entry("descriptors, missing", "limits.max-fds", "", descriptors, 0.0),
		Entry("no seeds", "seeds", "[]", func(s *settings.Entry) any { return len(s.Seeds) }, 0),
	)
})

func stopGrace(s *settings.Entry) any        { return s.Bounds.StopGrace.Std() }
func strictRevocation(s *settings.Entry) any { return s.Bounds.StrictRevocation }
func revocationTime(s *settings.Entry) any   { return s.Bounds.RevocationTime.Std() }
func retryRatio(s *settings.Entry) any       { return s.Bounds.RetryRatio }
func retrySlack(s *settings.Entry) any       { return s.Bounds.RetrySlack }
func retryWindow(s *settings.Entry) any      { return s.Bounds.RetryWindow.Std() }
func coldFactor(s *settings.Entry) any       { return s.Bounds.ColdFactor }
func coldSlack(s *settings.Entry) any        { return s.Bounds.ColdSlack }
func processorShare(s *settings.Entry) any   { return s.Limits.ProcessorShare }
func memoryMB(s *settings.Entry) any         { return s.Limits.MemoryMB }
func descriptors(s *settings.Entry) any      { return s.Limits.Descriptors }
