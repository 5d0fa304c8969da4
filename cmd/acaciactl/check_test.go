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
})
