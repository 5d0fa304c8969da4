package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/settings"
)

// filled holds what the platform puts in place of the template's placeholders.
var filled = map[string]string{
	"node|json": `"front-1"`, "zone|json": `"yard-1"`, "region|json": `"west"`,
	"listen.front|json": `"10.1.0.40:8227"`, "listen.readiness|json": `"10.1.0.40:8220"`, "listen.control|json": `"10.1.0.40:8229"`,
	"ip": "10.1.0.40", "platform.address|json": `"10.200.1.7:8223"`, "seeds|json": `["10.1.0.40:8229","10.2.0.29:8229"]`,
	"bounds.grace-s": "8", "bounds.strict-revocation|json": "true", "bounds.revoke-ms": "5000",
	"bounds.retry-budget-ratio|json": "0.2", "bounds.retry-budget-slack|json": "102", "bounds.budget-window-s": "10",
	"bounds.cold-burst-factor|json": "1.5", "bounds.cold-slack|json": "5",
}

// fillTemplate returns the settings file that the platform makes from the template in deploy/.
func fillTemplate() string {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml.tmpl"))
	Expect(err).NotTo(HaveOccurred())
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(placeholder string) string {
		name := strings.Trim(placeholder, "{}")
		value, known := filled[name]
		Expect(known).To(BeTrue(), "placeholder %s", name)
		return value
	})
}

var _ = Describe("the settings of acacia-entry", func() {
	// Guards against a template that the process does not accept.
	It("come from the deployment's template", func() {
		s, err := settings.ParseEntry("local", []byte(fillTemplate()))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Instance).To(Equal("front-1"))
		Expect(s.Domain).To(Equal("yard-1"))
		Expect(s.Seeds).To(HaveLen(2))
		Expect(s.Bounds.StrictRevocation).To(BeTrue())
		Expect(s.Bounds.RetryRatio).To(Equal(0.2))
	})

	// Guards against a wrong setting that is taken for a default, and against findings that come one at a time.
	It("are refused with all findings at once", func() {
		text := fillTemplate()
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
})
