package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/platform"
	"github.com/acacialift/acacialift/internal/standin"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestPlatform(t *testing.T) { testkit.RunSpecs(t, "platform") }

// instances returns a valid list of instances. Lists of the same revision differ by their comment.
func instances(revision uint64, comment string) []byte {
	return fmt.Appendf(nil, "revision: %d # %s\ninstances:\n  - {name: nadi-1, domain: nadi-yard, region: viti-west, "+
		"peer: '127.0.0.1:1', gateway: '127.0.0.1:2', operators: '127.0.0.1:3'}\n", revision, comment)
}

// response is a scripted response; status 0 means that the exchange fails.
type response struct {
	status   int
	revision string
	body     []byte
}

// exchange is a platform.Exchange that returns scripted responses by address and records the requests.
type exchange struct {
	responses map[string][]response
	requests  []string
	// bytes is the number of body bytes that the receiver accepted.
	bytes int
	// onEmpty is called when an address has no response left. The exchange then waits for the end of its context.
	onEmpty func()
}

func (e *exchange) Do(ctx context.Context, req engine.Request, _ func() error, receiver engine.Receiver) error {
	e.requests = append(e.requests, req.Address+req.Target)
	responses := e.responses[req.Address]
	if len(responses) == 0 {
		if e.onEmpty != nil {
			e.onEmpty()
		}
		<-ctx.Done()
		return &engine.Error{Err: ctx.Err()}
	}
	next := responses[0]
	e.responses[req.Address] = responses[1:]
	if next.status == 0 {
		return &engine.Error{Err: errors.New("refused")}
	}
	header := http.Header{}
	if next.revision != "" {
		header.Set(platform.RevisionHeader, next.revision)
	}
	if err := receiver.OnHead(next.status, header); err != nil {
		return err
	}
	// The body arrives in parts, as it does from a connection.
	for part := range slices.Chunk(next.body, 64<<10) {
		if err := receiver.OnBody(part); err != nil {
			return &engine.Error{Err: err}
		}
		e.bytes += len(part)
	}
	return nil
}

func newClient(s *exchange, clock clockwork.Clock, addresses ...string) *platform.Client {
	return platform.NewClient(platform.ClientOptions{
		Addresses: addresses, Exchange: s, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)),
	})
}

var _ = Describe("Client", func() {
	var clock *clockwork.FakeClock
	BeforeEach(func() { clock = clockwork.NewFakeClock() })

	// Guards against a client that stops at the first failed address, or that returns to it after another address worked.
	It("tries the addresses in turn and stays at one that sends values", func() {
		s := &exchange{responses: map[string][]response{
			"a": {{}, {status: 500}},
			"b": {{status: 200, revision: "4", body: []byte("x")}, {status: 200, revision: "5", body: []byte("y")}},
		}}
		client := newClient(s, clock, "a", "b")
		for _, after := range []uint64{3, 4} {
			value, err := client.Read(context.Background(), platform.KindConfig, after, 10*time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(value.Revision).To(Equal(after + 1))
			Expect(value.Address).To(Equal("b"))
		}
		Expect(s.requests[len(s.requests)-1]).To(Equal("b/v1/config?after=4&wait=10"))
	})

	// Guards against a client that never receives a newer revision because its address serves an old one.
	It("moves to another address when there is no newer revision", func() {
		s := &exchange{responses: map[string][]response{
			"a": {{status: 304}, {status: 304}}, "b": {{status: 304}, {status: 304}},
		}}
		client := newClient(s, clock, "a", "b")
		for range 4 {
			value, err := client.Read(context.Background(), platform.KindInstances, 7, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(value).To(BeNil())
		}
		Expect(s.responses).To(HaveEach(BeEmpty()))
	})

	// Guards against an error that does not name the failed addresses, and against values without a revision.
	It("names each address that failed", func() {
		s := &exchange{responses: map[string][]response{"a": {{}}, "b": {{status: 200, body: []byte("x")}}, "c": {{status: 503}}}}
		_, err := newClient(s, clock, "a", "b", "c").Read(context.Background(), platform.KindConfig, 0, 0)
		var failure *platform.ReadError
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Attempts).To(HaveLen(3))
		Expect(err.Error()).To(And(ContainSubstring("platform a: "),
			ContainSubstring("platform b: the response has no valid X-Revision"),
			ContainSubstring("platform c: unexpected status 503")))
	})

	// Guards against an old value that is returned because the platform sends a revision that the instance already has.
	It("ignores a value that is not newer", func() {
		s := &exchange{responses: map[string][]response{"a": {{status: 200, revision: "7", body: instances(7, "")}}}}
		value, err := newClient(s, clock, "a").Read(context.Background(), platform.KindInstances, 7, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(value).To(BeNil())
	})

	// Guards against unbounded memory use by a large value.
	It("truncates a value that is too large to a size that the checks reject", func() {
		s := &exchange{responses: map[string][]response{"a": {{status: 200, revision: "1", body: make([]byte, 3_000_000)}}}}
		value, err := newClient(s, clock, "a").Read(context.Background(), platform.KindConfig, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(value.Bytes).To(HaveLen(config.MaxDocumentBytes + 1))
		Expect(s.bytes).To(BeNumerically("<=", config.MaxDocumentBytes))
		_, err = platform.NewConfigStore(clock).Offer(value.Bytes, "test")
		Expect(err).To(MatchError("1:1: the document has more than 1000000 bytes"))
	})

	// Guards against a read that never ends because the platform accepts the connection and does not respond.
	It("ends a read that gets no response in time", func() {
		s := &exchange{onEmpty: func() { clock.Advance(platform.WatchPeriod + platform.ReadTimeout) }}
		_, err := newClient(s, clock, "a").Read(context.Background(), platform.KindConfig, 0, platform.WatchPeriod)
		Expect(err).To(MatchError(ContainSubstring("platform a: no complete response in time")))
	})
})

var _ = Describe("Store", func() {
	// Guards against a revision in force that decreases, or whose bytes change, whatever values are offered.
	It("never lowers its revision and keeps the first value of each revision", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			store := platform.NewInstancesStore(clockwork.NewFakeClock())
			var revision uint64
			var inForce string
			for range rapid.IntRange(1, 30).Draw(t, "offers") {
				offered := rapid.Uint64Range(0, 5).Draw(t, "revision")
				data := string(instances(offered, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "copy")))
				want := platform.Older
				switch {
				case data == inForce:
					want = platform.Same
				case offered == 0:
					want = platform.Rejected
				case offered > revision:
					want, revision, inForce = platform.Accepted, offered, data
				case offered == revision:
					want = platform.Conflict
				}
				verdict, err := store.Offer([]byte(data), "test")
				if verdict != want || (err != nil) != (want == platform.Rejected) || store.Revision() != revision {
					t.Fatalf("revision %d: %s (%v), want %s", offered, verdict, err, want)
				}
				if current := store.Current(); current != nil && string(current.Bytes) != inForce {
					t.Fatalf("the bytes in force are %q", current.Bytes)
				}
			}
		})
	})

	// Guards against a status that does not show operators why a revision is not in force.
	It("reports source, age, the last rejection and a conflict", func() {
		clock := clockwork.NewFakeClock()
		store := platform.NewInstancesStore(clock)
		Expect(store.Status()).To(Equal(platform.Status{}))
		Expect(store.Offer(instances(3, "a"), "peer nadi-2")).To(Equal(platform.Accepted))
		clock.Advance(time.Minute)
		Expect(store.Offer(instances(3, "b"), "platform a")).To(Equal(platform.Conflict))
		for range 2 {
			verdict, err := store.Offer([]byte("revision: 4\nteams: []\n"), "platform b")
			Expect(verdict).To(Equal(platform.Rejected))
			Expect(err).To(BeAssignableToTypeOf(&config.FindingsError{}))
		}
		status := store.Status()
		Expect(status.Revision).To(Equal(uint64(3)))
		Expect(status.Source).To(Equal("peer nadi-2"))
		Expect(status.Age).To(Equal(time.Minute))
		Expect(status.Conflict.Source).To(Equal("platform a"))
		Expect(status.Rejection.Source).To(Equal("platform b"))
		Expect(status.Rejection.Err.Error()).To(ContainSubstring("2:1: teams: unknown field"))
		Expect(store.Offer(instances(4, ""), "platform a")).To(Equal(platform.Accepted))
		Expect(store.Status().Conflict).To(BeNil())
	})

	// Guards against a valid value that is rejected without a check because it is a prefix of a rejected, longer value.
	It("accepts a value that is a prefix of a rejected one", func() {
		full := instances(3, strings.Repeat("x", config.MaxDocumentBytes-len(instances(3, ""))))
		store := platform.NewInstancesStore(clockwork.NewFakeClock())
		verdict, err := store.Offer(append(full, '\n'), "test")
		Expect(verdict).To(Equal(platform.Rejected), "%v", err)
		Expect(store.Offer(full, "test")).To(Equal(platform.Accepted))
	})

	// Guards against a subscriber that misses a revision, or that blocks the store by not reading its signals.
	It("signals subscribers without waiting for them", func() {
		store := platform.NewInstancesStore(clockwork.NewFakeClock())
		signal, cancel := store.Subscribe()
		for revision := range uint64(3) {
			Expect(store.Offer(instances(revision+1, ""), "test")).To(Equal(platform.Accepted))
		}
		Expect(signal).To(Receive())
		Expect(signal).NotTo(Receive())
		Expect(store.Offer(instances(2, ""), "test")).To(Equal(platform.Older))
		Expect(signal).NotTo(Receive())
		cancel()
		Expect(store.Offer(instances(9, ""), "test")).To(Equal(platform.Accepted))
		Expect(signal).NotTo(Receive())
	})
})

var _ = Describe("Schedule", func() {
	// Guards against more reads in a larger fleet than section 5 of the design page states.
	DescribeTable("keeps the stated numbers of watchers and reads", func(n, watchers int, reads float64) {
		Expect(platform.Watchers(n)).To(Equal(watchers))
		Expect(platform.ReadsPerSecond(n)).To(BeNumerically("~", reads, 0.05))
	},
		Entry("one instance", 1, 1, 0.2),
		Entry("two instances", 2, 2, 0.5),
		Entry("eight instances, a fleet of today's size", 8, 5, 1.3),
		Entry("340 instances, the expected size in two years", 340, 21, 15.5),
	)

	// Guards against controllers that disagree about the watchers, so that none of them or all of them watch.
	It("selects exactly the stated number of watchers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 60, rapid.ID[string]).Draw(t, "names")
			selected := 0
			for _, name := range names {
				if platform.IsWatcher(platform.KindConfig, name, names) {
					selected++
				}
			}
			if selected != platform.Watchers(len(names)) {
				t.Fatalf("%d of %d are watchers", selected, len(names))
			}
		})
	})
})

// instantClock lets each timer expire at once by advancing its time, and records the durations.
type instantClock struct {
	*clockwork.FakeClock
	durations []time.Duration
}

func (c *instantClock) NewTimer(d time.Duration) clockwork.Timer {
	c.durations = append(c.durations, d)
	timer := c.FakeClock.NewTimer(d)
	c.Advance(d)
	return timer
}

var _ = Describe("Poller", func() {
	var clock *instantClock
	BeforeEach(func() { clock = &instantClock{FakeClock: clockwork.NewFakeClock()} })

	// run polls until no scripted response is left. It returns the delays between the reads, the store and the exchange.
	run := func(watching func() bool, script ...response) ([]time.Duration, *platform.Store[*config.InstanceList], *exchange) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &exchange{responses: map[string][]response{"a": script}, onEmpty: cancel}
		store := platform.NewInstancesStore(clock)
		poller := platform.NewPoller(platform.PollerOptions{
			Kind: platform.KindInstances, Client: newClient(s, clock, "a"), Store: store, Watching: watching,
			Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		})
		Expect(poller.Serve(ctx)).To(MatchError(context.Canceled))
		return clock.durations, store, s
	}
	always := func() bool { return true }
	never := func() bool { return false }

	// Guards against watches that return at once because they request the revision in force again.
	It("watches for revisions above the one in force", func() {
		_, store, s := run(always, response{status: 200, revision: "5", body: instances(5, "")})
		Expect(store.Revision()).To(Equal(uint64(5)))
		Expect(s.requests).To(Equal([]string{"a/v1/instances?after=0&wait=10", "a/v1/instances?after=5&wait=10"}))
	})

	// Guards against many reads in quick succession while the platform is down, and against a delay so long that a new
	// revision comes into force too late after the outage.
	It("backs off with jitter up to a bound while the platform is down", func() {
		delays, _, _ := run(always, make([]response, 40)...)
		Expect(delays[0]).To(BeNumerically("<=", 250*time.Millisecond))
		Expect(delays[10:40]).To(HaveEach(And(
			BeNumerically(">=", 2*time.Second), BeNumerically("<=", 4*time.Second))))
		Expect(delays[10]).NotTo(Equal(delays[11]))
	})

	// Guards against a long delay after a single failure because the failures of an earlier outage are still counted.
	It("resets the back-off after a success", func() {
		delays, _, _ := run(always, append(make([]response, 10), response{status: 304}, response{})...)
		Expect(delays[9]).To(BeNumerically(">=", 2*time.Second))
		Expect(delays[11]).To(BeNumerically("<=", 250*time.Millisecond))
	})

	// Guards against many reads in quick succession when watches end at once, or when a rejected value stays published.
	It("bounds the reads of a watcher", func() {
		rejected := response{status: 200, revision: "9", body: []byte("revision: 9")}
		delays, _, s := run(always, response{status: 304}, response{status: 304}, rejected, rejected)
		Expect(delays[:2]).To(HaveEach(time.Second))
		Expect(delays[2:4]).To(HaveEach(And(BeNumerically(">=", time.Second), BeNumerically("<=", 2*time.Second))))
		Expect(s.requests).To(HaveEach("a/v1/instances?after=0&wait=10"))
	})

	// Guards against more slow reads than section 5 of the design page states.
	It("reads once a minute on average without a watch", func() {
		start := clock.Now()
		var responses []response
		for range 100 {
			responses = append(responses, response{status: 304})
		}
		_, _, s := run(never, responses...)
		Expect(s.requests).To(HaveEach("a/v1/instances?after=0&wait=0"))
		Expect(math.Abs(clock.Since(start).Seconds()/100 - 60)).To(BeNumerically("<", 5))
	})

	// Guards against a controller that becomes a watcher and still waits for the end of its slow-read delay.
	It("reads at once when it becomes a watcher", func() {
		checks := 0
		becomes := func() bool { checks++; return checks > 5 }
		delays, _, s := run(becomes, response{status: 304})
		Expect(len(delays)).To(BeNumerically("<", 8))
		Expect(s.requests[1]).To(Equal("a/v1/instances?after=0&wait=10"))
	})
})

var _ = Describe("Platform contract over HTTP", func() {
	var (
		clock  *clockwork.FakeClock
		server *standin.Platform
		client *platform.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		var err error
		server, err = standin.NewPlatform(standin.PlatformOptions{
			Addresses: []string{"127.0.0.1:0", "127.0.0.1:0"}, ControlAddress: "127.0.0.1:0", Clock: clock,
		})
		Expect(err).NotTo(HaveOccurred())
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx) }()
		DeferCleanup(func() {
			cancel()
			Expect(<-served).To(Succeed())
		})
		client = platform.NewClient(platform.ClientOptions{
			Addresses: server.Addresses(), Exchange: engine.NewClient(), Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)),
		})
	})
	read := func(after uint64, wait time.Duration) (*platform.Value, error) {
		return client.Read(ctx, platform.KindInstances, after, wait)
	}
	control := func(target string, body []byte) {
		request := engine.Request{Method: http.MethodPost, Address: server.ControlAddress(), Target: target, Body: body}
		receiver := &statusReceiver{}
		Expect(engine.NewClient().Do(ctx, request, nil, receiver)).To(Succeed())
		Expect(receiver.status).To(Equal(http.StatusOK))
	}

	// Guards against a client that does not conform to the protocol of the platform.
	It("reads a value, and nothing if there is no newer revision", func() {
		server.Publish(platform.KindInstances, 3, instances(3, ""))
		value, err := read(2, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(value.Bytes).To(Equal(instances(3, "")))
		Expect(read(3, 0)).To(BeNil())
		total, _ := server.Reads()
		Expect(total).To(Equal(2))
	})

	// Guards against a published revision that is delayed until the next read.
	It("ends a watch when a value is published", func() {
		control("/control/instances", instances(8, ""))
		done := make(chan *platform.Value, 1)
		go func() {
			defer GinkgoRecover()
			value, err := read(8, platform.WatchPeriod)
			Expect(err).NotTo(HaveOccurred())
			done <- value
		}()
		// The three waiters on the clock are the file check, the client's timeout and the platform's wait.
		Expect(clock.BlockUntilContext(ctx, 3)).To(Succeed())
		control("/control/instances?revision=9", []byte("not a list"))
		Expect((<-done).Revision).To(Equal(uint64(9)))
	})

	// Guards against a watch that is reported as a failure because nothing was published.
	It("ends a watch without a value after the wait", func() {
		done := make(chan *platform.Value, 1)
		go func() {
			defer GinkgoRecover()
			value, err := read(0, platform.WatchPeriod)
			Expect(err).NotTo(HaveOccurred())
			done <- value
		}()
		Expect(clock.BlockUntilContext(ctx, 3)).To(Succeed())
		clock.Advance(platform.WatchPeriod)
		Expect(<-done).To(BeNil())
	})

	// Guards against a client that keeps reading from an address with an old revision.
	It("finds the newer revision while one address serves an earlier one", func() {
		server.Publish(platform.KindInstances, 3, instances(3, ""))
		server.Publish(platform.KindInstances, 4, instances(4, ""))
		control("/control/stale?address=0&kind=instances&revision=3", nil)
		control("/control/stale?address=1&kind=instances&revision=3", nil)
		Expect(read(3, 0)).To(BeNil())
		control("/control/stale?address=0&kind=instances&revision=0", nil)
		var found []uint64
		for range 2 {
			if value, err := read(3, 0); err == nil && value != nil {
				found = append(found, value.Revision)
			}
		}
		Expect(found).To(ContainElement(uint64(4)))
	})

	// Guards against an outage that is mistaken for the absence of a newer revision.
	It("fails while the platform is down and reads again afterwards", func() {
		server.Publish(platform.KindInstances, 3, instances(3, ""))
		control("/control/down?mode=error", nil)
		_, err := read(0, 0)
		Expect(err).To(MatchError(ContainSubstring("unexpected status " + strconv.Itoa(http.StatusServiceUnavailable))))
		control("/control/down?mode=off", nil)
		Expect(read(0, 0)).NotTo(BeNil())
	})

	// Guards against a transport limit that is smaller than the maximum size of a value.
	It("transfers a value of the maximum size", func() {
		large := instances(3, strings.Repeat("x", config.MaxDocumentBytes-len(instances(3, ""))))
		server.Publish(platform.KindInstances, 3, large)
		value, err := read(0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(platform.NewInstancesStore(clock).Offer(value.Bytes, "test")).To(Equal(platform.Accepted))
	})
})

type statusReceiver struct{ status int }

func (r *statusReceiver) OnHead(status int, _ http.Header) error {
	r.status = status
	return nil
}

func (r *statusReceiver) OnBody([]byte) error { return nil }
