package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["restored"] = playRestored }

const revokeTime = 5 * time.Second

// playRestored takes a key away, lets the store come back from a copy that still has it, and starts a machine again just after
// that. The operator writes the lost configuration again two seconds after the store's return.
func playRestored(d *deployment, trouble bool) (verdict, error) {
	d.store.put("op/config", config(7, true, 0))
	for i, zone := range zones {
		err := d.addServer(&server{
			id: fmt.Sprintf("i-%d", i+1), service: plainService, zone: zone, slots: 6, serve: servePlain(20 * time.Millisecond),
		})
		if err != nil {
			return verdict{}, err
		}
	}
	if err := d.startMachines(zones...); err != nil {
		return verdict{}, err
	}
	if a := d.send(d.machines[2], betaCall); a.status != http.StatusOK {
		return verdict{}, fmt.Errorf("the key is not served before it is taken away: status %d", a.status)
	}

	// The copy is 5.4 s old when the store comes back from it.
	restarted := d.machines[2]
	copied := d.store.copyContent()
	d.store.put("op/config", config(8, false, 0))
	acknowledged := time.Now()
	d.record("acknowledged version=8 key-taken-away=%s", keyBeta)
	at := func(s float64) { time.Sleep(time.Until(acknowledged.Add(time.Duration(s * float64(time.Second))))) }

	var wait sync.WaitGroup
	wait.Go(func() {
		at(0.8)
		restarted.terminate()
	})
	at(3.9)
	// A server is added.
	added := &server{
		id: "i-9", service: plainService, zone: zones[0], slots: 6, serve: servePlain(20 * time.Millisecond),
	}
	if err := d.addServer(added); err != nil {
		return verdict{}, err
	}
	if trouble {
		at(4.4)
		d.store.setAway(true)
		d.record("store away")
		at(5.2)
		d.store.restore(copied)
		d.record("store back from a copy")
		// Servers whose entries were lost write them again at their next beat.
		time.AfterFunc(1200*time.Millisecond, func() { added.register("ready") })
	}
	at(5.3)
	wait.Wait()
	if err := restarted.start(); err != nil {
		return verdict{}, err
	}
	var answers []answer
	var mu sync.Mutex
	for time.Since(acknowledged) < 9*time.Second {
		if trouble && time.Since(acknowledged) > 7200*time.Millisecond && wroteAgain(d) {
			d.record("acknowledged version=8 again")
		}
		for _, m := range d.machines {
			wait.Go(func() {
				a := d.send(m, betaCall)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
		time.Sleep(40 * time.Millisecond)
	}
	wait.Wait()
	ran, first, last := 0, time.Duration(0), time.Duration(0)
	for _, a := range answers {
		after := a.sent.Sub(acknowledged)
		if after <= revokeTime || d.runsOf(a.id) == 0 {
			continue
		}
		ran++
		if first == 0 || after < first {
			first = after
		}
		last = max(last, after)
		d.record("REVOKED id=%s ran, sent %.3f s after the acknowledgement", a.id, after.Seconds())
	}
	good := d.send(restarted, call{method: http.MethodGet, path: pathSafe, key: keyAlpha, deadline: time.Second})
	if good.status != http.StatusOK {
		return verdict{}, fmt.Errorf("a key that is held is not served at the end: status %d", good.status)
	}
	return verdict{broken: ran > 0, summary: fmt.Sprintf(
		"requests-with-the-revoked-key=%d ran-later-than-5-s=%d sent-from=%.2f to=%.2f s after the acknowledgement",
		len(answers), ran, first.Seconds(), last.Seconds(),
	)}, nil
}

var betaCall = call{method: http.MethodGet, path: pathSafe, key: keyBeta, deadline: time.Second}

// wroteAgain lets the operator write the lost configuration again, once.
func wroteAgain(d *deployment) bool {
	if d.store.version8Again {
		return false
	}
	d.store.version8Again = true
	d.store.put("op/config", config(8, false, 0))
	return true
}

// servePlain returns a plain service's work.
func servePlain(work time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(work):
		}
		_, _ = io.WriteString(w, "answer of "+s.id)
	}
}
