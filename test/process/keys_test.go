package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/config"
)

// newKey returns an idempotency key with the current time.
func newKey() string {
	key, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return key.String()
}

func (f *fleet) sendBooking(instance int, key string) result {
	return f.send(instance, http.MethodPost, "/services/round-desk/bookings", "desk", key, `{"lawn":4}`)
}

// sendBookingToAll sends the same booking to all gateways concurrently.
func (f *fleet) sendBookingToAll(key string) []result {
	results := make([]result, len(f.instanceList.Instances))
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = f.sendBooking(i, key)
		}()
	}
	wait.Wait()
	return results
}

// executions returns how often the plain endpoints have executed the request of each key.
func (f *fleet) executions() map[string]int {
	total := make(map[string]int)
	for _, endpoint := range f.document.Endpoints {
		if endpoint.Service != "round-desk" {
			continue
		}
		var stats struct {
			Executions map[string]int `json:"executions"`
		}
		f.getJSON(endpoint.Name, "/standin/stats", &stats)
		for key, count := range stats.Executions {
			total[key] += count
		}
	}
	return total
}

// waitForBookings waits until a booking has succeeded through every gateway. Requests with keys that are issued within
// about 9 s after the start get the outcome unknown, because restarted voters cannot rule out an earlier home of the key.
func (f *fleet) waitForBookings() {
	GinkgoHelper()
	for i := range f.instanceList.Instances {
		Eventually(func() int { return f.sendBooking(i, newKey()).status }, waitLimit, "200ms").Should(Equal(http.StatusCreated))
	}
}

// expectAtMostOneExecution fails if the request of a key was executed twice, or if a response contradicts the executions.
func (f *fleet) expectAtMostOneExecution(results map[string][]result) {
	GinkgoHelper()
	executions := f.executions()
	for key, count := range executions {
		Expect(count).To(Equal(1), "key %s was executed %d times", key, count)
	}
	for key, list := range results {
		created := 0
		for _, r := range list {
			if r.status == http.StatusCreated {
				created++
			}
		}
		Expect(created).To(BeNumerically("<=", 1), "key %s: more than one response confirms the booking", key)
		Expect(created).To(BeNumerically("<=", executions[key]),
			"key %s: a response confirms the booking, but it was not executed", key)
	}
}

// setShortBookingBudget limits the time for which a booking waits for the home of its key.
func setShortBookingBudget(d *config.Document) {
	d.Profiles[1].DefaultBudget = config.Duration(2 * time.Second)
}

var _ = Describe("Idempotency keys", func() {
	// Guards against a booking that is executed twice because its duplicate reaches another gateway at the same time, or
	// because the key has a new home after the first home was killed or paused until its lease expired.
	It("are executed at most once while homes are killed, paused and continued", func() {
		f := startFleet(fleetOptions{
			instances: 6, engines: 1, desks: 2, engineFlags: coldLimitedEngine, editConfig: setShortBookingBudget,
		})
		f.waitForBookings()
		results := make(map[string][]result)
		bookAll := func(keys []string) {
			for _, key := range keys {
				results[key] = append(results[key], f.sendBookingToAll(key)...)
			}
		}
		keys := func(count int) []string {
			list := make([]string, count)
			for i := range list {
				list[i] = newKey()
			}
			return list
		}
		first := keys(12)
		bookAll(first)
		executions := f.executions()
		for _, key := range first {
			Expect(executions).To(HaveKeyWithValue(key, 1))
		}
		paused, killed := "entry-1-controller", "entry-2-controller"
		f.signal(paused, syscall.SIGSTOP)
		f.signal(killed, syscall.SIGKILL)
		during := keys(8)
		bookAll(during)
		bookAll(first)
		f.signal(paused, syscall.SIGCONT)
		bookAll(first)
		bookAll(during)
		f.startController(2)
		f.waitForOwners()
		bookAll(first)
		bookAll(during)
		f.expectAtMostOneExecution(results)
		f.waitForBookings()
	})

	// Guards against a duplicate that is executed or gets the outcome not_run while the first request still runs, and
	// against a duplicate that is executed after the first gateway was killed while its request was in flight.
	It("stay claimed when the gateway that claimed them is killed", func() {
		f := startFleet(fleetOptions{
			instances: 3, engines: 1, desks: 1, engineFlags: coldLimitedEngine, deskFlags: []string{"--delay", "3s"},
		})
		f.waitForBookings()
		key := newKey()
		go func() { f.sendBooking(0, key) }()
		Eventually(func() int { return f.executions()[key] }, waitLimit, "50ms").Should(Equal(1))
		duplicate := f.sendBooking(1, key)
		Expect(duplicate.outcome).To(Equal("unknown"), duplicate.body)
		f.signal("entry-0-gateway", syscall.SIGKILL)
		for i := range 20 {
			retried := f.sendBooking(1+i%2, key)
			Expect(retried.outcome).To(Equal("unknown"), retried.body)
		}
		Expect(f.executions()[key]).To(Equal(1))
	})
})

var _ = Describe("A graceful shutdown", func() {
	// Guards against a shutdown that truncates streams, refuses requests before the balancer's lag has passed, or loses
	// bookings, also when two instances shut down at the same time and the configuration changes meanwhile.
	It("truncates no response under load", func() {
		f := startFleet(fleetOptions{instances: 4, engines: 3, desks: 1, engineFlags: coldLimitedEngine})
		f.waitForBookings()
		results := make(chan result, 64)
		load := func(instance, count int) {
			for i := range count {
				go func() { results <- f.sendCompletion(instance, fmt.Sprintf("lawn %d", i), 40, true) }()
			}
		}
		load(0, 8)
		load(1, 8)
		f.signal("entry-0-controller", syscall.SIGTERM)
		f.signal("entry-0-gateway", syscall.SIGTERM)
		f.signal("entry-1-controller", syscall.SIGTERM)
		load(2, 8)
		load(3, 8)
		f.publish(func(d *config.Document) { d.Teams[1].Weight = 3 })
		for range 32 {
			var r result
			Eventually(results, waitLimit).Should(Receive(&r))
			_, complete := streamedText(r.body)
			Expect(complete).To(BeTrue(), fmt.Sprintf("%+v", r))
		}
		for _, name := range []string{"entry-0-gateway", "entry-0-controller", "entry-1-gateway", "entry-1-controller"} {
			f.waitForExit(name)
		}
		Expect(f.sendCompletion(2, "lawn after the stop", 4, false).status).To(Equal(http.StatusOK))
	})
})
