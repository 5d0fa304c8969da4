package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/settings"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestSettings(t *testing.T) { testkit.RunSpecs(t, "settings") }

const common = "instance: nadi-1\ndomain: nadi-yard\nregion: viti-west\n"

const gateway = common + `addresses:
  callers: 127.0.0.1:21000
  controller: 127.0.0.1:21100
keys:
  peers_file: peers.key
`

const controller = common + `addresses:
  peers: 127.0.0.1:21100
  operators: 127.0.0.1:21200
keys:
  peers: 0123456789abcdef
  operators: fedcba9876543210
platform: ["127.0.0.1:21900", "127.0.0.1:21901"]
list_lag_bound: 20s
`

func writeFile(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

func findings(err error) []string {
	var all *settings.FindingsError
	Expect(errors.As(err, &all)).To(BeTrue(), "%v", err)
	var lines []string
	for _, f := range all.Findings {
		f.File = ""
		lines = append(lines, f.String())
	}
	return lines
}

var _ = Describe("Load", func() {
	// Guards against optional settings that stay zero, and against key files that are looked up in the working directory.
	It("sets defaults and reads key files from the folder of the settings file", func() {
		path := writeFile("gateway.yaml", gateway)
		key := filepath.Join(filepath.Dir(path), "peers.key")
		Expect(os.WriteFile(key, []byte("0123456789abcdef\n"), 0o600)).To(Succeed())
		g, err := settings.LoadGateway(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Keys.Peers.Reveal()).To(Equal("0123456789abcdef"))
		Expect(g.Limits).To(Equal(settings.Limits{
			MaxBodyBytes: 8 << 20, MaxBufferedBytes: 64 << 20, MaxHeaderBytes: 16 << 10,
		}))
		Expect(g.BalancerLag.Std()).To(Equal(5 * time.Second))
		Expect(g.LogLevel).To(Equal("info"))
	})

	// Guards against defaults that replace explicit values.
	It("reads the settings of a controller", func() {
		s, err := settings.LoadController(writeFile("controller.yaml", controller))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform).To(HaveLen(2))
		Expect(s.ListLagBound.Std()).To(Equal(20 * time.Second))
	})

	// Guards against keys in the log that come from a printed struct.
	It("does not print keys", func() {
		s, err := settings.ParseController("", []byte(controller))
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprintf("%v %+v %#v", *s, *s, *s)).NotTo(ContainSubstring("0123456789abcdef"))
	})

	// Guards against a gateway that overloads endpoints because a mistake in its settings disables credits.
	DescribeTable("accepts only known policies and combinations", func(lines string, finding string) {
		_, err := settings.ParseGateway("", []byte(strings.Replace(gateway, "peers_file: peers.key", "peers: 0123456789abcdef", 1)+lines))
		if finding == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(findings(err)).To(ConsistOf(ContainSubstring(finding)))
	},
		Entry("baseline", "policy: least_requests\n", ""),
		Entry("uncontrolled baseline", "policy: random_two\nuncontrolled: true\n", ""),
		Entry("unknown", "policy: fastest\n", "policy: must be one of"),
		Entry("uncontrolled default policy", "uncontrolled: true\n", "uncontrolled: needs a baseline policy"))

	// Guards against a report that ends at the first finding or gives a wrong location.
	It("reports all findings with line and column", func() {
		_, err := settings.ParseGateway("gateway.yaml", []byte(`instance: Nadi 1
domain: 7
colour: red
log_level: loud
addresses:
  callers: localhost:80
keys: {peers: short}
limits:
  max_body_bytes: -1
  max_buffered_bytes: "many"
balancer_lag: 5
instance: nadi-2
`))
		Expect(findings(err)).To(Equal([]string{
			"1:1: region: the field is missing",
			"1:11: instance: must be 1 to 63 lower-case letters, digits or hyphens",
			"2:9: domain: must be a string, not an integer",
			"3:1: colour: unknown field",
			"4:12: log_level: must be one of trace, debug, info, warn, error",
			"6:3: addresses.controller: the field is missing",
			`6:12: addresses.callers: "localhost:80" is not IP:port`,
			"7:15: keys.peers: a key must have at least 16 bytes",
			"9:19: limits.max_body_bytes: must be from 1024 to 17179869184 bytes",
			"10:23: limits.max_buffered_bytes: must be an integer, not a string",
			"11:15: balancer_lag: must be a string, not an integer",
			"12:1: instance: the field appears twice",
		}))
	})

	// Guards against a total buffer limit that is too small for one request of the maximum size.
	It("rejects a buffer limit below the body limit", func() {
		_, err := settings.ParseGateway("g.yaml", []byte(strings.Replace(gateway, "peers_file: peers.key",
			"peers: 0123456789abcdef", 1)+"limits: {max_buffered_bytes: 2048}\n"))
		Expect(findings(err)).To(ConsistOf(
			"9:30: limits.max_buffered_bytes: must not be less than limits.max_body_bytes (8388608)"))
	})

	// Guards against invalid settings that are accepted, or that are reported without a usable location.
	DescribeTable("rejects invalid settings of a controller", func(added, finding string, replaced ...string) {
		source := strings.NewReplacer(replaced...).Replace(controller) + added
		_, err := settings.ParseController("c.yaml", []byte(source))
		Expect(findings(err)).To(ConsistOf(finding))
	},
		Entry("a negative lag", "balancer_lag: -1s\n", "12:15: balancer_lag: must be from 0s to 10m0s"),
		Entry("a key given twice", "", "9:15: keys.peers_file: must not be given together with keys.peers",
			"  peers: 0123456789abcdef\n", "  peers: 0123456789abcdef\n  peers_file: peers.key\n"),
		Entry("a missing key file", "", "8:15: keys.peers_file: the key file cannot be read: open missing.key: "+
			"no such file or directory", "  peers: 0123456789abcdef\n", "  peers_file: missing.key\n"),
		Entry("one address for two listeners", "", "6:14: addresses.operators: must differ from addresses.peers",
			"127.0.0.1:21200", "127.0.0.1:21100"),
		Entry("an alias", "log_level: *x\n", "12:1: not valid YAML: unknown anchor 'x' referenced"),
		Entry("an anchor", "log_level: &x info\n", "12:12: log_level: anchors are not allowed"),
		Entry("a second document", "---\ninstance: nadi-2\n", "12:1: the file contains more than one YAML document"),
	)
})
