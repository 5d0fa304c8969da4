// Package testkit runs ginkgo suites and rapid properties with fixed seeds for reproducible results. It also builds and
// configures the processes that tests start.
package testkit

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	// The flags below are defined by rapid.
	_ "pgregory.net/rapid"
)

const (
	ginkgoSeed = 1
	rapidSeed  = "1"
)

// RunSpecs runs the package's ginkgo suite with fixed seeds. A seed given on the command line takes precedence.
func RunSpecs(t *testing.T, description string) {
	t.Helper()
	FixRapidSeed()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = ginkgoSeed
	ginkgo.RunSpecs(t, description, suite, reporter)
}

// FixRapidSeed makes rapid generate the same cases in each run and write no failure files.
func FixRapidSeed() {
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", rapidSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
}
