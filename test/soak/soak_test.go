// Package soak_test runs several acacia-entry processes on loopback, injects random faults, and checks its guarantees
// against what callers and endpoints observed. The seed of a round determines its plan.
//
// To run many rounds with other seeds:
//
//	go test ./test/soak -timeout 0 -args -soak.seeds 50 -soak.first 1000 -soak.length 20s -soak.logs DIR
package soak_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

var (
	seedCount = flag.Int("soak.seeds", 0, "number of rounds with consecutive seeds, run instead of the fixed rounds")
	firstSeed = flag.Uint64("soak.first", 1, "first of the consecutive seeds")
	length    = flag.Duration("soak.length", 15*time.Second, "time within which all steps of such a round start")
	logDir    = flag.String("soak.logs", "", "directory to which the logs of failed rounds are copied")

	binaryDir string
)

// round identifies a plan by its seed and length.
type round struct {
	seed   uint64
	length time.Duration
	// cause is why the round failed in an earlier run; empty if it never failed.
	cause string
}

// schedulingMode returns the mode of the scheduling: on in the rounds with even seeds.
func (r round) schedulingMode() string {
	if r.seed%2 == 0 {
		return "on"
	}
	return "off"
}

// fixedRounds are run each time the tests run. A round that has failed is added here with its cause.
var fixedRounds = []round{
	{seed: 1, length: 8 * time.Second},
	{seed: 2, length: 8 * time.Second},
	{
		seed: 109, length: 15 * time.Second,
		cause: "fault of the test: an outgoing connection used the port of an instance that was being restarted",
	},
}

func TestSoak(t *testing.T) { testkit.RunSpecs(t, "soak") }

var _ = BeforeSuite(func() {
	var err error
	binaryDir, err = testkit.BuildBinaries()
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() { _ = os.RemoveAll(binaryDir) })

// requestedRounds returns the rounds that the command line selects.
func requestedRounds() []round {
	var rounds []round
	for i := range *seedCount {
		rounds = append(rounds, round{seed: *firstSeed + uint64(i), length: *length})
	}
	return rounds
}

// runRound runs the plan of a round and returns the violated guarantees.
func runRound(r round) []string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	d, err := newDeployment(fmt.Sprintf("s%d", r.seed), dir, r.schedulingMode())
	Expect(err).NotTo(HaveOccurred())
	defer d.stop()
	for _, e := range d.entries {
		Expect(e.start()).To(Succeed())
	}
	for _, e := range d.entries {
		Eventually(e.isReady, startTime).Should(BeTrue(), entryName(e.index))
	}
	steps := drawPlan(r.seed, r.length)
	d.runPlan(steps, r.seed)
	violations := d.violations()
	if len(violations) > 0 && *logDir != "" {
		keepLogs(dir, d.name, steps, violations)
	}
	AddReportEntry("requests", d.summary())
	return violations
}

// keepLogs copies the logs of a round, and writes its plan and the violations to a file next to them.
func keepLogs(dir, name string, steps []step, violations []string) {
	GinkgoHelper()
	target := filepath.Join(*logDir, name)
	Expect(os.CopyFS(target, os.DirFS(dir))).To(Succeed())
	var report strings.Builder
	for _, s := range steps {
		fmt.Fprintln(&report, s)
	}
	for _, text := range violations {
		fmt.Fprintln(&report, text)
	}
	Expect(os.WriteFile(filepath.Join(target, "found.txt"), []byte(report.String()), 0o600)).To(Succeed())
}

// summary counts the requests of a round by their status.
func (d *deployment) summary() string {
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	counts := make(map[int]int)
	for _, q := range d.record.requests {
		counts[q.status]++
	}
	return fmt.Sprintf("%d requests, %d runs, by status %v", len(d.record.requests), len(d.record.runs), counts)
}

var _ = Describe("A fleet under random faults", func() {
	// Guards against violated guarantees to callers and endpoints when several faults overlap.
	It("keeps its guarantees to callers and endpoints", func() {
		rounds := fixedRounds
		if *seedCount > 0 {
			rounds = requestedRounds()
		}
		for _, r := range rounds {
			Expect(runRound(r)).To(BeEmpty(), "seed %d, length %s", r.seed, r.length)
		}
	})
})
