package loadshare_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("the choice of a scheduler", func() {
	const key, size, keys = "a-key-of-sixteen-bytes", 16, 20

	// choices returns the instances that are chosen by any of the given ones.
	choices := func(of []*instance) func() map[string]bool {
		return func() map[string]bool {
			distinct := make(map[string]bool)
			for _, i := range of {
				chosen, ok := i.sharer.Scheduler(keys, time.Now())
				if !ok {
					chosen = "none at " + i.address
				}
				distinct[chosen] = true
			}
			return distinct
		}
	}

	// Guards against instances that ask different schedulers of one shard, and against a dead one that is asked on.
	It("is the same at all instances, also after one has died", func() {
		addresses := testkit.FreeAddresses(size)
		var all []*instance
		for _, address := range addresses {
			all = append(all, start("i", address, key, addresses[0]))
		}
		Eventually(choices(all), eventLimit).Should(HaveLen(1))
		chosen, _ := all[0].sharer.Scheduler(keys, time.Now())
		var rest []*instance
		for _, i := range all {
			if i.address == chosen {
				i.stop()
				continue
			}
			rest = append(rest, i)
		}
		Eventually(choices(rest), eventLimit).Should(And(HaveLen(1), Not(HaveKey(chosen))))
	})

	// Guards against requests that lose their scheduler in each planned stop: the others choose another one at once, while
	// the one that stops still answers.
	It("passes to another instance when one begins to stop", func() {
		addresses := testkit.FreeAddresses(size)
		var all []*instance
		for _, address := range addresses {
			all = append(all, start("i", address, key, addresses[0]))
		}
		Eventually(choices(all), eventLimit).Should(HaveLen(1))
		leaving, ok := all[0].sharer.Scheduler(keys, time.Now())
		Expect(ok).To(BeTrue())
		for _, i := range all {
			if i.address == leaving {
				i.sharer.StartLeaving()
			}
		}
		Eventually(choices(all), eventLimit).Should(And(HaveLen(1), Not(HaveKey(leaving))))
	})

	// Guards against small fleets that wait for a scheduler although all instances tell each other directly.
	It("is left out in a small fleet", func() {
		address := testkit.FreeAddresses(1)[0]
		a := start("a", address, key, address)
		Consistently(func() bool {
			_, ok := a.sharer.Scheduler(keys, time.Now())
			return ok
		}, 300*time.Millisecond).Should(BeFalse())
	})
})
