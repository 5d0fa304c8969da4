package standin

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("prefill", func() {
	// Guards against a long prompt that blocks short ones of equal priority, and against priorities without effect.
	It("serves the highest priority first, and equal priorities round-robin by chunk", func() {
		engine, err := NewEngine(EngineOptions{Address: "127.0.0.1:0", MemoryTokens: 1 << 20})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(engine.server.Close)
		for _, a := range []admission{
			{id: "long", prefillTokens: 3 * prefillChunkTokens},
			{id: "short", prefillTokens: prefillChunkTokens},
			{id: "urgent", prefillTokens: 2 * prefillChunkTokens, priority: 1},
		} {
			s, err := engine.admit(context.Background(), a)
			Expect(err).NotTo(HaveOccurred())
			engine.startPrefill(s)
		}
		var order []string
		for s, chunk := engine.nextChunk(); s != nil; s, chunk = engine.nextChunk() {
			order = append(order, s.id)
			engine.finishChunk(s, chunk)
		}
		Expect(order).To(Equal([]string{"urgent", "urgent", "long", "short", "long", "long"}))
	})
})
