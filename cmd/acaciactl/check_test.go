package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

func TestAcaciactl(t *testing.T) { testkit.RunSpecs(t, "acaciactl") }

func check(args ...string) (string, error) {
	var out bytes.Buffer
	root := rootCommand()
	root.Writer = &out
	err := root.Run(context.Background(), append([]string{"acaciactl", "check"}, args...))
	return out.String(), err
}

var _ = Describe("check", func() {
	file := func(content string) string {
		path := filepath.Join(GinkgoT().TempDir(), "file.yaml")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}

	// Guards against invalid examples, and against a wrong kind that is detected from a file's content.
	DescribeTable("accepts the examples", func(pattern, kind string, count int) {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", pattern))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(count))
		out, err := check(files...)
		Expect(err).NotTo(HaveOccurred(), out)
		for _, name := range files {
			Expect(out).To(ContainSubstring(name + ": ok (" + kind + ")\n"))
		}
	},
		Entry("documents", "*/config.yaml", "config", 2),
		Entry("instance lists", "*/instances.yaml", "instances", 2),
		Entry("settings of gateways", "*/settings/gateway-*.yaml", "gateway", 16),
		Entry("settings of controllers", "*/settings/controller-*.yaml", "controller", 16),
	)

	// Guards against findings without a location, and against files that are skipped after the first invalid one.
	It("prints all findings of all files and fails", func() {
		first, second := file("revision: 0\ncolour: red\n"), file("revision: 1\ninstances: 3\n")
		out, err := check(first, second)
		Expect(err).To(MatchError(errFindings))
		Expect(out).To(ContainSubstring(first + ":1:11: revision: must be at least 1\n"))
		Expect(out).To(ContainSubstring(first + ":2:1: colour: unknown field\n"))
		Expect(out).To(HaveSuffix("\n" + second + ":2:12: instances: must be a list, not an integer\n"))
	})

	// Guards against a kind on the command line that is overridden by the content of the file.
	It("uses the kind from the command line", func() {
		out, err := check("--kind", "gateway", file("revision: 1\n"))
		Expect(err).To(MatchError(errFindings))
		Expect(out).To(ContainSubstring(":1:1: instance: the field is missing\n"))
	})

	// Guards against a command that succeeds although it has checked nothing.
	It("fails without files, with an unknown kind and with a missing file", func() {
		_, err := check()
		Expect(err).To(MatchError(ContainSubstring("no files given")))
		_, err = check("--kind", "team", file("revision: 1\n"))
		Expect(err).To(MatchError(ContainSubstring("unknown kind")))
		out, err := check(filepath.Join(GinkgoT().TempDir(), "missing.yaml"))
		Expect(err).To(MatchError(errFindings))
		Expect(out).To(ContainSubstring("no such file"))
	})

	// Guards against a document that is published although the check has found an error, and against one that is held back by a warning.
	DescribeTable("checks the configuration document of the platform", func(next, inForce string, fails bool, want ...string) {
		args := []string{"--configuration", file(next)}
		if inForce != "" {
			args = append(args, "--in-force", file(inForce))
		}
		out, err := check(args...)
		if fails {
			Expect(err).To(MatchError(errFindings))
		} else {
			Expect(err).NotTo(HaveOccurred())
		}
		for _, text := range want {
			Expect(out).To(ContainSubstring(text))
		}
	},
		Entry("without findings", `{"version":1}`, "", false, ": 0 errors, 0 warnings, 0 differences\n"),
		Entry("with a warning", `{"version":1,"services":[{"name":"s"}]}`, "", false, `: warning: services[0] "s": gets no requests`, ": 0 errors, 1 warnings"),
		Entry("with an error", `{"version":0}`, "", true, ": error: version: must be above zero", ": 1 errors"),
		Entry("that is no JSON", `{`, "", true, ": error: "),
		Entry("with differences", `{"version":2,"limits":{"max-body-bytes":5}}`, `{"version":1}`, false,
			": difference: limits.max-body-bytes: changed from 0 to 5", "0 warnings, 1 differences"),
		Entry("with a version that does not rise", `{"version":1}`, `{"version":1}`, true, ": error: version: is 1 and does not rise"),
	)

	// Guards against arguments that are ignored, so that a file seems to be checked.
	It("refuses arguments that do not go together", func() {
		path := file(`{"version":1}`)
		for _, args := range [][]string{
			{"--in-force", path},
			{"--configuration", path, path},
			{"--configuration", path, "--kind", "config"},
			{"--configuration", path + ".missing"},
			{"--configuration", path, "--in-force", path + ".missing"},
		} {
			_, err := check(args...)
			Expect(err).To(HaveOccurred(), "%v", args)
		}
	})

	// Guards against a command whose use is not explained.
	It("explains the check of the configuration document with examples", func() {
		out, err := check("--help")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("acaciactl check --configuration next.json --in-force current.json"))
	})
})
