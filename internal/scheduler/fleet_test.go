package scheduler_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/loadshare"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/testkit"
)

const eventLimit = 20 * time.Second

// member is one instance of a fleet on loopback.
type member struct {
	address string
	book    *load.Tracker
	client  *scheduler.Client
	sharer  *loadshare.Sharer
	stop    context.CancelFunc
}

func startMember(address, seed string, state *fleet.State) *member {
	m := &member{address: address, book: load.NewTracker()}
	ledger := newLedger(state)
	var err error
	m.sharer, err = loadshare.New(loadshare.Options{
		Address: address, Seeds: []string{seed}, Key: "a-key-of-sixteen-bytes", Instance: address, Load: m.book,
		Health: health.NewTracker(), Log: zerolog.Nop(), Capacity: 0.4,
		Placements: &scheduler.Server{Scheduler: ledger, State: state, Log: zerolog.Nop()},
	})
	Expect(err).NotTo(HaveOccurred())
	m.client = scheduler.NewClient(scheduler.ClientOptions{
		Self: address, Peers: m.sharer.Node(), Members: m.sharer, Local: ledger, Load: m.book, State: state, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	for _, serve := range []func(context.Context) error{m.sharer.Serve, m.client.Serve} {
		go func() {
			_ = serve(ctx)
			ended <- struct{}{}
		}()
	}
	m.stop = func() {
		cancel()
		<-ended
		<-ended
	}
	DeferCleanup(func() { cancel() })
	return m
}

// place asks for a place and counts it as the instance's own work, as a request does.
func (m *member) place() (scheduler.PlaceResult, bool) {
	ask := shortAsk(0)
	ask.Number = m.book.NextNumber()
	ask.Need.Objective = 3 * time.Second
	answer, ok := m.client.Place(context.Background(), ask)
	if ok && answer.Refusal == nil {
		m.book.AddNumbered(ask.Number, answer.Choice.Work(ask.Need, ask.Limit), time.Now()).PrefillDone()
		answer.Placement.PrefillDone()
	}
	return answer, ok
}

var _ = Describe("schedulers in a fleet", func() {
	const size, engines = 16, 2

	// Guards against places that are given away twice, or not at all, once the scheduler has died: the next one learns from
	// the instances what is placed, and each place is held by one request.
	It("know the work on their shard after the one before has died", func() {
		state := newState(engines)
		addresses := testkit.FreeAddresses(size)
		var all []*member
		for _, address := range addresses {
			all = append(all, startMember(address, addresses[0], state))
		}
		var first scheduler.PlaceResult
		Eventually(func() bool {
			var ok bool
			first, ok = all[1].place()
			return ok && first.Refusal == nil
		}, eventLimit).Should(BeTrue())
		var rest []*member
		for _, m := range all {
			if m.address == first.Scheduler {
				m.stop()
				continue
			}
			rest = append(rest, m)
		}
		var second scheduler.PlaceResult
		Eventually(func() bool {
			var ok bool
			second, ok = rest[len(rest)-1].place()
			return ok && second.Refusal == nil && second.Scheduler != first.Scheduler
		}, eventLimit).Should(BeTrue())
		placed := func() int {
			sum := 0
			for _, m := range rest {
				sum += len(m.book.Requests(time.Now()))
			}
			return sum
		}
		before := placed()
		for range engines * slots {
			rest[0].place()
		}
		Expect(placed()).To(Equal(engines * slots))
		Expect(placed()).To(BeNumerically(">", before))
	})
})
