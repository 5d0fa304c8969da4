package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["cold"] = playCold }

const (
	coldTime   = 3 * time.Second
	coldRate   = 14.0
	coldFactor = 1.5
	coldSlack  = 5.0
	coldBound  = coldRate*coldFactor + coldSlack
	// coldCrash is how many requests in one second crash a cold server, which tolerates coldRate.
	coldCrash = 2 * coldRate
	coldDown  = 2 * time.Second
	// The store is down for coldOutage, from coldCalm after the begin of the traffic on.
	coldCalm   = 3 * time.Second
	coldOutage = 8 * time.Second
	coldLength = 14 * time.Second
	coldPause  = 9 * time.Millisecond
)

// coldState records the arrivals at cold servers.
type coldState struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time
	overruns int
}

// arrive counts a request that arrives at a cold server, and returns how many came within the last second.
func (c *coldState) arrive(s *server, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[s.id] = append(c.arrivals[s.id], now)
	return within(c.arrivals[s.id], now, time.Second)
}

// playCold restarts one of three servers under its id while the store is down. The server is cold for some seconds, and
// crashes if it gets many requests in that time. All routes are public, so that no request depends on the store.
func playCold(d *deployment, trouble bool) (verdict, error) {
	c := config(7, true, coldRate)
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["public"] = true
	}
	d.store.put("op/config", c)
	state := &coldState{arrivals: map[string][]time.Time{}}
	for i, zone := range zones {
		err := d.addServer(&server{
			id: fmt.Sprintf("i-%d", i+1), service: plainService, zone: zone, slots: 6,
			serve: func(s *server, w http.ResponseWriter, r *http.Request) {
				if now := time.Now(); now.Before(s.coldEnd()) {
					if n := state.arrive(s, now); float64(n) > coldCrash && s.isUp() {
						d.record("overrun server=%s requests-in-a-second=%d", s.id, n)
						state.mu.Lock()
						state.overruns++
						state.mu.Unlock()
						s.crash(coldDown, coldTime)
					}
				}
				servePlain(30*time.Millisecond)(s, w, r)
			},
		})
		if err != nil {
			return verdict{}, err
		}
	}
	if err := d.startMachines(zones...); err != nil {
		return verdict{}, err
	}
	var wait sync.WaitGroup
	var answers []answer
	var mu sync.Mutex
	began := time.Now()
	d.store.resets = true
	if trouble {
		time.AfterFunc(coldCalm, func() {
			d.store.setAway(true)
			d.record("store down")
		})
		time.AfterFunc(coldCalm+500*time.Millisecond, func() { d.servers[0].crash(coldDown, coldTime) })
		time.AfterFunc(coldCalm+coldOutage, func() {
			d.store.setAway(false)
			d.record("store answers")
			for _, s := range d.servers {
				if s.isUp() {
					s.register("ready")
				}
			}
		})
	}
	for n := 0; time.Since(began) < coldLength; n++ {
		request := call{method: http.MethodPost, path: pathOnce, key: keyAlpha, deadline: time.Second, body: "visit"}
		if n%2 == 1 {
			request = call{method: http.MethodGet, path: pathSafe, key: keyAlpha, deadline: time.Second}
		}
		wait.Go(func() {
			a := d.send(d.machines[n%len(d.machines)], request)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(coldPause)
	}
	wait.Wait()
	most := 0
	for _, times := range state.arrivals {
		for _, at := range times {
			most = max(most, within(times, at, time.Second))
		}
	}
	served, lost := 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.complete:
			served++
		case d.runsOf(a.id) > 0:
			lost++
			d.record("LOST id=%s ran and was answered %d", a.id, a.status)
		}
	}
	return verdict{broken: float64(most) > coldBound, summary: fmt.Sprintf(
		"requests=%d served=%d most-in-a-second-at-a-cold-server=%d bound=%.0f crashes-by-overrun=%d ran-and-not-served=%d",
		len(answers), served, most, coldBound, state.overruns, lost,
	)}, nil
}

// within counts the times in the span that ends with the given time.
func within(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}

// coldEnd returns the time until which the server is cold.
func (s *server) coldEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldUntil
}
