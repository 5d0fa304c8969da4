package standin

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("load report", func() {
	// Guards against a report lag without effect, so that tests with old load reports would see current ones.
	It("returns the state of one report lag ago, and the current state without a lag", func() {
		engine, err := NewEngine(EngineOptions{Address: "127.0.0.1:0", MemoryTokens: 100, ReportLag: time.Second})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(engine.server.Close)
		start := time.UnixMilli(1_000_000)
		used := func() int64 { return engine.Report().UsedTokens }
		engine.sampleReport(start)
		_, err = engine.admit(context.Background(), admission{id: "r", reservedTokens: 7})
		Expect(err).NotTo(HaveOccurred())
		engine.sampleReport(start.Add(500 * time.Millisecond))
		engine.sampleReport(start.Add(1400 * time.Millisecond))
		Expect(used()).To(BeZero())
		engine.sampleReport(start.Add(1500 * time.Millisecond))
		Expect(used()).To(BeEquivalentTo(7))
		Expect(engine.Report().AtMS).To(Equal(start.UnixMilli() + 500))
		lag := int64(0)
		engine.Control(Control{ReportLagMS: &lag})
		engine.cancelByID("r", false)
		Expect(used()).To(BeZero())
	})
})
