package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	revokeTime = 5000 * time.Millisecond
	// awayTime is how long the store is away; the site file lets it be down for 4.5 s and more (platform_down).
	awayTime = 3000 * time.Millisecond
	// rewriteTime is how long after its return the operator and the servers have written again what the copy lacks; the page says
	// about two seconds of the servers.
	rewriteTime = 2000 * time.Millisecond
	// readPause is the time from the change of a server's entry to the configuration, and lastPause that from the acknowledgement of
	// the configuration to the absence of the store.
	readPause = 20 * time.Millisecond
	lastPause = 240 * time.Millisecond
)

// drillConfig is a configuration with one booking route; the key k2 of the tenant two is in it or taken away.
func drillConfig(version int, withKey bool) string {
	keys := ""
	if withKey {
		keys = `"key-two-0001"`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-book","host":"desk.example","path-prefix":"/book/",`+
		`"kind":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"desk","attempts":1,"public":false,`+
		`"sticky":false,"resumable":false}],"services":[{"name":"desk","health-check":"/health","max-connections":100,"protocol":"h1",`+
		`"tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,`+
		`"header-timeout-ms":5000,"idle-timeout-ms":20000},"tenants":[{"name":"one","api-keys":["key-one-0001"]},`+
		`{"name":"two","api-keys":[%s]}]}`, version, keys)
}

// sentRequest is a request with the key that is taken away.
type sentRequest struct {
	id     string
	sentAt time.Time
	status int
}

func playDrill() int {
	st := newStore()
	servers := []*server{newServer("i-desk-1", "desk"), newServer("i-desk-2", "desk")}
	st.put("op/config", drillConfig(7, true))
	for _, s := range servers {
		st.put("servers/"+s.id, s.entry(1))
	}
	instances := newInstances(3, st.address)
	waitReady(instances)
	time.Sleep(6 * time.Second)

	var mu sync.Mutex
	var sent []sentRequest
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, in := range instances {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r := request{method: "POST", target: "/book/visit", host: "desk.example", id: newID(), key: "key-two-0001", deadlineMS: 1000, body: "{}"}
				sentAt := time.Now()
				answer := call(in.callers, r, 1500*time.Millisecond)
				record("client of %s: request %s with the key of tenant two, sent at %s, status %d", in.name, r.id, at(sentAt), answer.status)
				mu.Lock()
				sent = append(sent, sentRequest{r.id, sentAt, answer.status})
				mu.Unlock()
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	copied := st.copy()
	record("the copy of the store is made (revision %d)", copied.revision)
	time.Sleep(1500 * time.Millisecond)

	// An entry of a server changes, then the operator takes the key away.
	st.put("servers/"+servers[0].id, servers[0].entry(2))
	time.Sleep(readPause)
	acknowledged := st.put("op/config", drillConfig(9, false))
	record("the store acknowledges version 9, which takes the key of tenant two away")
	if troubled() {
		time.Sleep(time.Until(acknowledged.Add(lastPause)))
		st.close()
		record("the store is away")
		time.Sleep(awayTime)
		st.restore(copied)
		st.open()
		record("the store is back from its copy, in era 2")
		time.Sleep(rewriteTime / 2)
		st.put("servers/"+servers[0].id, servers[0].entry(3))
		time.Sleep(rewriteTime - rewriteTime/2)
		st.put("op/config", drillConfig(9, false))
		record("the operator has written version 9 again")
	}
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	close(stop)
	clients.Wait()

	before, broken := 0, 0
	for _, r := range sent {
		hasRun := servers[0].ran(r.id) || servers[1].ran(r.id)
		late := r.sentAt.Sub(acknowledged)
		switch {
		case late < 0 && hasRun:
			before++
		case late > revokeTime && hasRun:
			broken++
			record("BROKEN: request %s was sent %.3f s after the acknowledgement of the configuration that took its key away, and ran (status %d)",
				r.id, late.Seconds(), r.status)
		}
	}
	record("%d requests ran before the key was taken away; %d sent more than 5 s after it ran", before, broken)
	switch {
	case before < 20:
		return exitNoRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
