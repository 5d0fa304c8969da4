package lab_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/lab"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLab(t *testing.T) { testkit.RunSpecs(t, "lab") }

func expectValid(d *lab.Deployment) {
	GinkgoHelper()
	data, err := yaml.Marshal(d.Document)
	Expect(err).NotTo(HaveOccurred())
	_, err = config.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	data, err = yaml.Marshal(d.List)
	Expect(err).NotTo(HaveOccurred())
	_, err = config.ParseInstances(data)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("Deployment", func() {
	// Guards against a generated configuration that controllers reject, because its endpoints would never get owners.
	DescribeTable("is valid when generated", func(size lab.Size) {
		size.Engine = config.Service{
			Warm: config.Limit{Streams: 8, Tokens: 100_000}, Cold: config.Limit{Streams: 2, Tokens: 10_000}, PrefillRate: 1000,
		}
		size.Server = config.Service{Warm: config.Limit{Streams: 8}, Cold: config.Limit{Streams: 2}}
		d, err := lab.Generate(size)
		Expect(err).NotTo(HaveOccurred())
		expectValid(d)
	},
		Entry("both services", lab.Size{Instances: 8, Engines: 20, Servers: 3}),
		Entry("no plain service", lab.Size{Instances: 3, Engines: 4}),
		Entry("large", lab.Size{Instances: 24, Engines: 200, Servers: 3}))

	// Guards against an example that the demonstration can no longer start, and against fields that are lost when it is
	// moved to other ports.
	DescribeTable("loads the examples", func(name string) {
		d, err := lab.LoadExample("../../examples/" + name)
		Expect(err).NotTo(HaveOccurred())
		expectValid(d)
		Expect(d.UseFreePorts()).To(Succeed())
		expectValid(d)
		Expect(d.Gateways()).To(HaveLen(8))
		Expect(d.Endpoints(d.Service(config.KindModel).Name)).To(HaveLen(20))
	}, Entry("vanua", "vanua"), Entry("alba", "alba"))
})
