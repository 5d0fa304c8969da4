package loadshare_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("the choice of a scheduler", func() {
	const key, size, shardKey = "a-key-of-sixteen-bytes", 16, 20

	// choices returns the schedulers that the given instances choose.
	choices := func(instances []*instance) func() map[string]bool {
		return func() map[string]bool {
			distinct := make(map[string]bool)
			for _, i := range instances {
				chosen, ok := i.sharer.Scheduler(shardKey, time.Now())
				if !ok {
					chosen = "none at " + i.address
				}
				distinct[chosen] = true
			}
			return distinct
		}
	}

	// Guards against instances that use different schedulers for one shard, and against a failed scheduler that stays
	// chosen.
	It("is the same at all instances, also after the scheduler has failed", func() {
		addresses := testkit.FreeAddresses(size)
		var all []*instance
		for _, address := range addresses {
			all = append(all, start("i", address, key, addresses[0]))
		}
		Eventually(choices(all), eventTimeout).Should(HaveLen(1))
		chosen, _ := all[0].sharer.Scheduler(shardKey, time.Now())
		var remaining []*instance
		for _, i := range all {
			if i.address == chosen {
				i.stop()
				continue
			}
			remaining = append(remaining, i)
		}
		Eventually(choices(remaining), eventTimeout).Should(And(HaveLen(1), Not(HaveKey(chosen))))
	})

	// Guards against instances that ask different ones in place of a failed scheduler, and against a second change of the scheduler when
	// the failed one counts as gone.
	It("falls on the instance that all have named as the next one", func() {
		addresses := testkit.FreeAddresses(size)
		var all []*instance
		for _, address := range addresses {
			all = append(all, start("i", address, key, addresses[0]))
		}
		Eventually(choices(all), eventTimeout).Should(HaveLen(1))
		chosen, _ := all[0].sharer.Scheduler(shardKey, time.Now())
		next := make(map[string]bool)
		var remaining []*instance
		for _, i := range all {
			if i.address == chosen {
				i.stop()
				continue
			}
			remaining = append(remaining, i)
			next[i.sharer.NextScheduler(shardKey, chosen, time.Now())] = true
		}
		Expect(next).To(And(HaveLen(1), Not(HaveKey(chosen))))
		Eventually(choices(remaining), eventTimeout).Should(Equal(next))
	})

	// Guards against requests whose scheduler is shutting down and then exits: the other instances must choose another
	// scheduler immediately, while the stopping instance still responds.
	It("moves to another instance when the chosen one starts to shut down", func() {
		addresses := testkit.FreeAddresses(size)
		var all []*instance
		for _, address := range addresses {
			all = append(all, start("i", address, key, addresses[0]))
		}
		Eventually(choices(all), eventTimeout).Should(HaveLen(1))
		leaving, ok := all[0].sharer.Scheduler(shardKey, time.Now())
		Expect(ok).To(BeTrue())
		for _, i := range all {
			if i.address == leaving {
				i.sharer.StartLeaving()
			}
		}
		Eventually(choices(all), eventTimeout).Should(And(HaveLen(1), Not(HaveKey(leaving))))
	})

	// Guards against small fleets that wait for a scheduler although every instance sends its counts to all others.
	It("is not made in a small fleet", func() {
		address := testkit.FreeAddresses(1)[0]
		a := start("a", address, key, address)
		Consistently(func() bool {
			_, ok := a.sharer.Scheduler(shardKey, time.Now())
			return ok
		}, 300*time.Millisecond).Should(BeFalse())
	})
})
