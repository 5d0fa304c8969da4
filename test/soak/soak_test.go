// Package soak_test runs acacia-entry as separate processes on loopback under random faults, and checks from what callers
// and endpoints see that its promises hold. The plan of a round follows from its seed.
//
// Many rounds with other seeds:
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
	seedCount = flag.Int("soak.seeds", 0, "number of rounds with fresh seeds, in place of the fixed ones")
	firstSeed = flag.Uint64("soak.first", 1, "first of the fresh seeds")
	length    = flag.Duration("soak.length", 15*time.Second, "time in which the steps of a fresh round begin")
	keptLogs  = flag.String("soak.logs", "", "directory for the logs of failed rounds")

	binaries string
)

// round is a plan by its seed and length.
type round struct {
	seed   uint64
	length time.Duration
	// cause tells why the round failed once; empty if it never did.
	cause string
}

// fixedRounds are played in each run of the tests. A round that fails is added with its cause.
var fixedRounds = []round{
	{seed: 1, length: 8 * time.Second},
	{seed: 2, length: 8 * time.Second},
	{
		seed: 109, length: 15 * time.Second,
		cause: "fault of the rig: an outgoing connection had the port of an instance that was being restarted",
	},
}

func TestSoak(t *testing.T) { testkit.RunSpecs(t, "soak") }

var _ = BeforeSuite(func() {
	var err error
	binaries, err = testkit.BuildBinaries()
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() { _ = os.RemoveAll(binaries) })

// freshRounds returns the rounds that the command line asks for.
func freshRounds() []round {
	var rounds []round
	for i := range *seedCount {
		rounds = append(rounds, round{seed: *firstSeed + uint64(i), length: *length})
	}
	return rounds
}

// playRound plays a plan and returns what was broken.
func playRound(r round) []string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	w, err := newWorld(fmt.Sprintf("s%d", r.seed), dir)
	Expect(err).NotTo(HaveOccurred())
	defer w.stop()
	for _, e := range w.entries {
		Expect(e.start()).To(Succeed())
	}
	for _, e := range w.entries {
		Eventually(e.isReady, startTime).Should(BeTrue(), entrySubject(e.index))
	}
	steps := draw(r.seed, r.length)
	w.play(steps, r.seed)
	found := w.verdicts()
	if len(found) > 0 && *keptLogs != "" {
		keepLogs(dir, w.name, steps, found)
	}
	AddReportEntry("requests", w.summary())
	return found
}

// keepLogs copies the logs of a round, and writes its plan and what was broken beside them.
func keepLogs(dir, name string, steps []step, found []string) {
	GinkgoHelper()
	kept := filepath.Join(*keptLogs, name)
	Expect(os.CopyFS(kept, os.DirFS(dir))).To(Succeed())
	var report strings.Builder
	for _, s := range steps {
		fmt.Fprintln(&report, s)
	}
	for _, text := range found {
		fmt.Fprintln(&report, text)
	}
	Expect(os.WriteFile(filepath.Join(kept, "found.txt"), []byte(report.String()), 0o600)).To(Succeed())
}

// summary counts the requests of a round by their status.
func (w *world) summary() string {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	counts := make(map[int]int)
	for _, q := range w.record.requests {
		counts[q.status]++
	}
	return fmt.Sprintf("%d requests, %d runs, by status %v", len(w.record.requests), len(w.record.runs), counts)
}

var _ = Describe("A fleet under random faults", func() {
	// Guards against broken promises to callers and endpoints when faults overlap.
	It("keeps its promises", func() {
		rounds := fixedRounds
		if *seedCount > 0 {
			rounds = freshRounds()
		}
		for _, r := range rounds {
			Expect(playRound(r)).To(BeEmpty(), "seed %d, length %s", r.seed, r.length)
		}
	})
})
