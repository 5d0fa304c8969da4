package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	shedRounds  = 12
	shedStreams = 14
)

const shedConfig = `{"version":3,"routes":[{"name":"r-query","host":"assist.example","path-prefix":"/query/",` +
	`"kind":"streaming","timeout-ms":10000,"target-latency-ms":2000,"priority":1,"service":"assist","attempts":2,"public":true,` +
	`"sticky":true,"resumable":true,"gap-target-ms":1000}],"services":[{"name":"assist","health-check":"/health",` +
	`"max-connections":424,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":16,` +
	`"kv-capacity-tokens":405000,"token-kv-bytes":163840,"link-mbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,` +
	`"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0}}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":20000},` +
	`"tenants":[{"name":"one","api-keys":["key-one-0001"]}]}`

// isWhole reports whether a body has all events of a stream, in order.
func isWhole(body, id string) bool {
	var want strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d of %d of %s\n\n", event, event, streamEvents, id)
	}
	return body == want.String()
}

// playShed lets a model server turn requests away for some seconds and crash while its streams run.
func playShed() int {
	st := newStore()
	st.put("op/config", shedConfig)
	var engines []*engine
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-assist-%d", i+1), address: freeAddress()}
		e.start()
		st.put("servers/"+e.id, e.entry(1))
		engines = append(engines, e)
	}
	instances := newInstances(2, st.address)
	waitReady(instances)
	time.Sleep(4 * time.Second)

	complete, broken, brokenOff := 0, 0, 0
	for round := range shedRounds {
		var mu sync.Mutex
		var clients sync.WaitGroup
		stream := func(in *instance) {
			clients.Go(func() {
				r := request{
					method: "POST", target: "/query/q", host: "assist.example", id: newID(), deadlineMS: 10000, body: "{}",
					header: "Acacialift-Model: m\r\nAcacialift-Token-Usage: 1000,300\r\n",
				}
				answer := call(in.callers, r, 12*time.Second)
				events := strings.Count(string(answer.body), "\n\n")
				record("answer to %s from %s: status %d, %d events, error %v", r.id, in.name, answer.status, events, answer.err)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case answer.err != nil:
					brokenOff++
				case answer.status == 200 && isWhole(string(answer.body), r.id):
					complete++
				case answer.status == 200:
					broken++
					record("BROKEN: the stream %s ended as complete after event %d of %d", r.id, events, streamEvents)
				}
			})
		}
		for i := range shedStreams {
			stream(instances[i%len(instances)])
		}
		time.Sleep(700 * time.Millisecond)
		victim := engines[0]
		for _, e := range engines {
			if mine, _ := e.counts(); mine > 0 {
				if most, _ := victim.counts(); mine > most {
					victim = e
				}
			}
		}
		active, shedBefore := victim.counts()
		record("round %d: server %s has %d streams", round+1, victim.id, active)
		if troubled() {
			_ = victim.cmd.Process.Signal(syscall.SIGUSR1)
			time.Sleep(20 * time.Millisecond)
			for range 8 {
				for _, in := range instances {
					stream(in)
				}
				time.Sleep(30 * time.Millisecond)
			}
			_, shed := victim.counts()
			record("server %s has turned %d requests away and crashes", victim.id, shed-shedBefore)
			victim.kill()
			time.Sleep(2 * time.Second)
			victim.start()
			st.put("servers/"+victim.id, victim.entry(2+round))
			record("server %s has started again", victim.id)
		}
		clients.Wait()
		time.Sleep(1500 * time.Millisecond)
	}
	record("%d whole streams, %d streams that ended as complete before their last event, %d streams broken off", complete, broken, brokenOff)
	switch {
	case broken > 0:
		return exitBroken
	case complete < shedStreams:
		return exitNoRun
	}
	return exitHeld
}
