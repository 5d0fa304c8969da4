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

// fields holds what the platform puts in place of the template's placeholders.
type fields map[string]string

// filled returns the fields of a usual deployment.
func filled() fields {
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

// with returns the fields with one of another value; an empty value removes the field.
func (f fields) with(name, value string) fields {
	f[name] = value
	return f
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// fill returns the settings file that the platform makes from the template in deploy/: sections whose field has no value
// or is false are left out.
func (f fields) fill() string {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml.tmpl"))
	Expect(err).NotTo(HaveOccurred())
	text := section.ReplaceAllStringFunc(string(template), func(whole string) string {
		parts := section.FindStringSubmatch(whole)
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

var _ = Describe("the settings of acacia-entry", func() {
	// Guards against a template that the process does not accept.
	It("come from the deployment's template", func() {
		s, err := settings.ParseEntry("local", []byte(filled().fill()))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Instance).To(Equal("front-1"))
		Expect(s.Domain).To(Equal("yard-1"))
		Expect(s.Seeds).To(HaveLen(2))
		Expect(s.Bounds.StrictRevocation).To(BeTrue())
		Expect(s.Bounds.RetryRatio).To(Equal(0.2))
	})

	// Guards against a wrong setting that is taken for a default, and against findings that come one at a time.
	It("are refused with all findings at once", func() {
		text := filled().fill()
		for from, to := range map[string]string{
			"retry_ratio: 0.2": "retry_ratio: 2", "revocation_time: 5000ms": "revocation_time: soon",
			`callers: "10.1.0.40:8227"`: `callers: "here"`, "least_instances: 12": "least_instances: 0",
		} {
			Expect(text).To(ContainSubstring(from))
			text = strings.Replace(text, from, to, 1)
		}
		_, err := settings.ParseEntry("local", []byte(text))
		Expect(err).To(HaveOccurred())
		for _, place := range []string{"bounds.retry_ratio", "bounds.revocation_time", "addresses.callers", "bounds.least_instances"} {
			Expect(err.Error()).To(ContainSubstring(place))
		}
	})

	// Guards against a template that no process accepts once all its optional figures are missing.
	It("come from a template without any optional figure", func() {
		f := filled()
		for name := range f {
			if strings.HasPrefix(name, "bounds.") || strings.HasPrefix(name, "limits.") {
				delete(f, name)
			}
		}
		_, err := settings.ParseEntry("local", []byte(f.fill()))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an outage of a whole deployment whose figures are of another form than those seen before: a fraction
	// of repeats kept every process of a small deployment from starting.
	DescribeTable("accept fractions, zeros and missing figures", func(name, value string, check func(*settings.Entry) any, want any) {
		s, err := settings.ParseEntry("local", []byte(filled().with(name, value).fill()))
		Expect(err).NotTo(HaveOccurred())
		Expect(check(s)).To(Equal(want))
	},
		Entry("stop grace, fraction", "bounds.grace-s", "7.5", stopGrace, 7500*time.Millisecond),
		Entry("stop grace, missing", "bounds.grace-s", "", stopGrace, 8*time.Second),
		Entry("strict revocation, false", "bounds.strict-revocation", "false", strict, false),
		Entry("strict revocation, missing", "bounds.strict-revocation", "", strict, false),
		Entry("revocation time, fraction", "bounds.revoke-ms", "4500.0", revocationTime, 4500*time.Millisecond),
		Entry("revocation time, missing", "bounds.revoke-ms", "", revocationTime, 5*time.Second),
		Entry("retry ratio, zero", "bounds.retry-budget-ratio", "0", retryRatio, 0.0),
		Entry("retry ratio, missing", "bounds.retry-budget-ratio", "", retryRatio, 0.0),
		Entry("retry slack, fraction", "bounds.retry-budget-slack", "34.7", retrySlack, 34.7),
		Entry("retry slack, zero", "bounds.retry-budget-slack", "0", retrySlack, 0.0),
		Entry("retry slack, missing", "bounds.retry-budget-slack", "", retrySlack, 0.0),
		Entry("retry window, fraction", "bounds.budget-window-s", "2.5", retryWindow, 2500*time.Millisecond),
		Entry("retry window, missing", "bounds.budget-window-s", "", retryWindow, 10*time.Second),
		Entry("cold factor, whole", "bounds.cold-burst-factor", "2", coldFactor, 2.0),
		Entry("cold factor, missing", "bounds.cold-burst-factor", "", coldFactor, 1.0),
		Entry("cold slack, fraction", "bounds.cold-slack", "0.5", coldSlack, 0.5),
		Entry("cold slack, missing", "bounds.cold-slack", "", coldSlack, 0.0),
		Entry("processor share, whole", "limits.cpu-share", "1", processorShare, 1.0),
		Entry("memory, fraction", "limits.memory-mb", "184.5", memoryMB, 184.5),
		Entry("descriptors, large", "limits.max-fds", "1048576", descriptors, 1048576.0),
		Entry("processor share, missing", "limits.cpu-share", "", processorShare, 0.0),
		Entry("memory, missing", "limits.memory-mb", "", memoryMB, 0.0),
		Entry("descriptors, missing", "limits.max-fds", "", descriptors, 0.0),
		Entry("no seeds", "seeds", "[]", func(s *settings.Entry) any { return len(s.Seeds) }, 0),
	)
})

func stopGrace(s *settings.Entry) any      { return s.Bounds.StopGrace.Std() }
func strict(s *settings.Entry) any         { return s.Bounds.StrictRevocation }
func revocationTime(s *settings.Entry) any { return s.Bounds.RevocationTime.Std() }
func retryRatio(s *settings.Entry) any     { return s.Bounds.RetryRatio }
func retrySlack(s *settings.Entry) any     { return s.Bounds.RetrySlack }
func retryWindow(s *settings.Entry) any    { return s.Bounds.RetryWindow.Std() }
func coldFactor(s *settings.Entry) any     { return s.Bounds.ColdFactor }
func coldSlack(s *settings.Entry) any      { return s.Bounds.ColdSlack }
func processorShare(s *settings.Entry) any { return s.Limits.ProcessorShare }
func memoryMB(s *settings.Entry) any       { return s.Limits.MemoryMB }
func descriptors(s *settings.Entry) any    { return s.Limits.Descriptors }
