package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() {
	scenarios["wrong-part"] = func(d *deployment, trouble bool) (verdict, error) {
		return playPoison(d, trouble, poisonPlan{
			servers: 4, eventsBeforeCrash: 0, poisonEvery: 800 * time.Millisecond, subjectBefore: "410aa001", subjectAfter: "410aa002",
		})
	}
	scenarios["late-crash"] = func(d *deployment, trouble bool) (verdict, error) {
		return playPoison(d, trouble, poisonPlan{
			servers: 4, eventsBeforeCrash: 1, poisonEvery: 800 * time.Millisecond, subjectBefore: "410aa001", subjectAfter: "410aa001",
		})
	}
}

// The parts of the prompts: the part that crashes servers, and the one that stands in its place in sound prompts.
const (
	poisonPart = "5c1e07a2"
	soundPart  = "5c1e07a3"
)

const (
	stabilityWindow = 3 * time.Second
	crashDown       = 3 * time.Second
)

// poisonPlan is how the requests come.
type poisonPlan struct {
	servers int
	// eventsBeforeCrash is the number of events of its answer that a server writes before it crashes.
	eventsBeforeCrash int
	poisonEvery       time.Duration
	// The sound requests share subjectBefore in the calm time. From the first request with the poisonPart on, these and the sound
	// ones share subjectAfter.
	subjectBefore, subjectAfter string
}

// playPoison sends sound requests of one caller all the time, and after a while requests of the same caller with a part that
// crashes each server that begins to write an answer on it.
func playPoison(d *deployment, trouble bool, plan poisonPlan) (verdict, error) {
	d.store.put("op/config", config(7, true, 0))
	var mu sync.Mutex
	var crashes []time.Time
	for i := range plan.servers {
		err := d.addServer(&server{
			id: fmt.Sprintf("i-%d", i+1), service: modelService, zone: zones[i%len(zones)], slots: 16,
			serve: func(s *server, w http.ResponseWriter, r *http.Request) {
				if !slices.Contains(parts(r), poisonPart) {
					writeStream(w, r, 8, 40*time.Millisecond)
					return
				}
				time.Sleep(30 * time.Millisecond)
				w.Header().Set("Content-Type", "text/event-stream")
				for n := range plan.eventsBeforeCrash {
					_, _ = io.WriteString(w, eventText(n+1))
				}
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
				if s.isUp() {
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
				}
				s.crash(crashDown, 0)
				<-r.Context().Done()
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
	var before, after []answer
	n := 0
	sound := func(subject string, into *[]answer) {
		n++
		prefix := fmt.Sprintf("%s:800,%s:410,e4402b%04x:250", soundPart, subject, n)
		m := d.machines[n%len(d.machines)]
		wait.Go(func() {
			a := d.send(m, call{
				method: http.MethodPost, path: pathStream, key: keyAlpha, deadline: 10 * time.Second, body: "prompt", header: streamHeader(prefix),
			})
			mu.Lock()
			defer mu.Unlock()
			*into = append(*into, a)
		})
		time.Sleep(100 * time.Millisecond)
	}
	poison := func() {
		n++
		prefix := fmt.Sprintf("%s:800,%s:410,e4402b%04x:250", poisonPart, plan.subjectAfter, n)
		m := d.machines[n%len(d.machines)]
		wait.Go(func() {
			d.send(m, call{
				method: http.MethodPost, path: pathStream, key: keyAlpha, deadline: 10 * time.Second, body: "prompt", header: streamHeader(prefix),
			})
		})
	}

	for began := time.Now(); time.Since(began) < 6*time.Second; {
		sound(plan.subjectBefore, &before)
	}
	began := time.Now()
	if trouble {
		// The caller's work on the subject begins with two requests that have the part.
		d.record("the requests with the part begin")
		poison()
		time.Sleep(500 * time.Millisecond)
		poison()
		time.Sleep(500 * time.Millisecond)
	}
	lastPoison := time.Now()
	for time.Since(began) < 30*time.Second {
		if trouble && time.Since(lastPoison) >= plan.poisonEvery {
			lastPoison = time.Now()
			poison()
		}
		sound(plan.subjectAfter, &after)
	}
	wait.Wait()

	// The rule counts from 2 x stability-window-ms after the fifth crash, or the last if there are fewer.
	counted := began
	if len(crashes) > 0 {
		counted = crashes[min(len(crashes), 5)-1].Add(2 * stabilityWindow)
	}
	calm, calmBegun := begun(d, before, time.Time{})
	poisoned, poisonedBegun := begun(d, after, counted)
	whole := 0
	for _, a := range after {
		if !a.sent.Before(counted) && a.status == http.StatusOK && a.complete {
			whole++
		}
	}
	enough := calm >= 20 && poisoned >= 20
	if !enough {
		return verdict{}, fmt.Errorf("too few requests: %d and %d", calm, poisoned)
	}
	calmShare, poisonedShare := share(calmBegun, calm), share(poisonedBegun, poisoned)
	return verdict{broken: poisonedShare < calmShare/2, summary: fmt.Sprintf(
		"crashes=%d sound-before=%d begun=%.2f sound-from-2-windows-after-the-fifth-crash=%d begun=%.2f whole=%.2f",
		len(crashes), calm, calmShare, poisoned, poisonedShare, share(whole, poisoned),
	)}, nil
}

// begun counts the requests sent from a time on, and those of them that ran at a server.
func begun(d *deployment, answers []answer, from time.Time) (sent, ran int) {
	for _, a := range answers {
		if a.sent.Before(from) {
			continue
		}
		sent++
		if d.runsOf(a.id) > 0 {
			ran++
		}
	}
	return sent, ran
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
