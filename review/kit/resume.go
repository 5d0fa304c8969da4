package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["resume"] = playResume }

const (
	resumeServers = 7
	resumeEvents  = 20
	resumeGap     = 60 * time.Millisecond
	resumePause   = 40 * time.Millisecond
	resumeLength  = 34 * time.Second
	// One server of seven crashes for resumeDown, and another one is grey for greyTime: it fails greyOf of each greyIn requests.
	resumeDown      = 2 * time.Second
	resumeEvery     = 7 * time.Second
	greyTime        = 2500 * time.Millisecond
	greyOf, greyIn  = 2, 5
	resumeCalmFirst = 4 * time.Second
)

// resumeState counts what the servers do.
type resumeState struct {
	mu       sync.Mutex
	active   map[*server]int
	grey     *server
	asked    int
	failures int
}

// fails reports whether the server fails the next request.
func (r *resumeState) fails(s *server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s != r.grey {
		return false
	}
	r.asked++
	if r.asked%greyIn >= greyOf {
		return false
	}
	r.failures++
	return true
}

func (r *resumeState) add(s *server, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[s] += n
}

// busiest returns the two servers with the most streams.
func (r *resumeState) busiest(servers []*server) (first, second *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		switch {
		case first == nil || r.active[s] > r.active[first]:
			first, second = s, first
		case second == nil || r.active[s] > r.active[second]:
			second = s
		}
	}
	return first, second
}

// playResume plays resumable streams on seven servers. Now and then one of them crashes while it writes, and another one is grey: it
// fails a part of its requests with a status of its own, 409.
func playResume(d *deployment, trouble bool) (verdict, error) {
	d.store.put("op/config", config(7, true, 0))
	state := &resumeState{active: map[*server]int{}}
	for i := range resumeServers {
		err := d.addServer(&server{
			id: fmt.Sprintf("i-%d", i+1), service: modelService, zone: zones[i%len(zones)], slots: 16,
			serve: func(s *server, w http.ResponseWriter, r *http.Request) {
				if state.fails(s) {
					d.record("failure id=%s server=%s status=409", r.Header.Get("Acacialift-Request-Id"), s.id)
					w.Header().Set("Content-Type", "application/json")
					w.WriteHeader(http.StatusConflict)
					_, _ = fmt.Fprintf(w, `{"error":"no state for request %s"}`, r.Header.Get("Acacialift-Request-Id"))
					return
				}
				state.add(s, 1)
				defer state.add(s, -1)
				writeStream(w, r, resumeEvents, resumeGap)
			},
		})
		if err != nil {
			return verdict{}, err
		}
	}
	if err := d.startMachines(zones...); err != nil {
		return verdict{}, err
	}
	var expected strings.Builder
	for n := 1; n <= resumeEvents; n++ {
		expected.WriteString(eventText(n))
	}
	var answers []answer
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	nextCrash := began.Add(resumeCalmFirst)
	for n := 0; time.Since(began) < resumeLength; n++ {
		wait.Go(func() {
			a := d.send(d.machines[n%len(d.machines)], call{
				method: http.MethodPost, path: pathStream, key: keyAlpha, deadline: 10 * time.Second, body: "prompt",
				header: streamHeader(fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,e4402b%04x:250", n%16, n)),
			})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(resumePause)
		if trouble && time.Now().After(nextCrash) {
			nextCrash = nextCrash.Add(resumeEvery)
			crashed, grey := state.busiest(d.servers)
			state.mu.Lock()
			state.grey = grey
			state.mu.Unlock()
			d.record("grey server=%s", grey.id)
			crashed.crash(resumeDown, 0)
			time.AfterFunc(greyTime, func() {
				state.mu.Lock()
				defer state.mu.Unlock()
				state.grey = nil
			})
		}
	}
	wait.Wait()
	whole, wrong, failed := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.complete && a.body == expected.String():
			whole++
		case a.status == http.StatusOK && a.complete:
			wrong++
			d.record("WRONG id=%s a success that ends as complete, with the body %q", a.id, a.body)
		default:
			failed++
		}
	}
	return verdict{broken: wrong > 0, summary: fmt.Sprintf(
		"streams=%d whole=%d failed-or-broken-off=%d wrong-and-complete=%d failures-of-a-grey-server=%d",
		len(answers), whole, failed, wrong, state.failures,
	)}, nil
}

// startMachines adds machines in the zones, starts them and waits until they are ready and know each other.
func (d *deployment) startMachines(zones ...string) error {
	if err := d.addMachines(zones...); err != nil {
		return err
	}
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
