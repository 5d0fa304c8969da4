package main

import (
	"syscall"
	"time"
)

// The times of a round, from the moment at which the client has sent its request.
const (
	freezeAt  = 50 * time.Millisecond
	crashAt   = 300 * time.Millisecond
	restartAt = 2000 * time.Millisecond
	wakeAt    = 3000 * time.Millisecond
)

const halfConfig = `{"version":3,"routes":[{"name":"r-export","host":"desk.example","path-prefix":"/export/",` +
	`"kind":"idempotent","timeout-ms":6000,"target-latency-ms":1000,"priority":2,"service":"desk","attempts":2,"public":true,` +
	`"sticky":false,"resumable":false},{"name":"r-book","host":"desk.example","path-prefix":"/book/",` +
	`"kind":"non_idempotent","timeout-ms":6000,"target-latency-ms":1000,"priority":2,"service":"desk","attempts":1,"public":true,` +
	`"sticky":false,"resumable":false}],"services":[{"name":"desk","health-check":"/health","max-connections":100,"protocol":"h1",` +
	`"tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,` +
	`"header-timeout-ms":5000,"idle-timeout-ms":20000},"tenants":[{"name":"one","api-keys":["key-one-0001"]}]}`

// playHalf freezes a machine while it waits for an answer without a length; meanwhile the server crashes in the middle of the answer
// and starts again under its id.
func playHalf() int {
	st := newStore()
	st.put("op/config", halfConfig)
	c := &child{id: "i-desk-1", address: freeAddress()}
	c.start()
	st.put("servers/"+c.id, c.entry(1, time.Now().UnixMilli()))
	instances := newInstances(2, st.address)
	waitReady(instances)
	time.Sleep(4 * time.Second)

	in := instances[0]
	complete, broken := 0, 0
	for round, r := range []request{
		{method: "GET", target: "/export/a"},
		{method: "POST", target: "/book/b", body: "{}"},
		{method: "GET", target: "/export/c"},
		{method: "POST", target: "/book/d", body: "{}"},
	} {
		r.id, r.host, r.deadlineMS = newID(), "desk.example", 6000
		sent := time.Now()
		answers := make(chan response, 1)
		go func() { answers <- call(in.callers, r, 8*time.Second) }()
		record("round %d: a client sends %s %s with id %s to %s", round+1, r.method, r.target, r.id, in.name)
		if troubled() {
			time.Sleep(time.Until(sent.Add(freezeAt)))
			_ = in.cmd.Process.Signal(syscall.SIGSTOP)
			record("%s stands still", in.name)
			time.Sleep(time.Until(sent.Add(crashAt)))
			c.kill()
			record("server %s crashes after the first half of its answer", c.id)
			time.Sleep(time.Until(sent.Add(restartAt)))
			c.start()
			st.put("servers/"+c.id, c.entry(2+round, time.Now().UnixMilli()))
			record("server %s has started again under its id", c.id)
			time.Sleep(time.Until(sent.Add(wakeAt)))
			_ = in.cmd.Process.Signal(syscall.SIGCONT)
			record("%s goes on", in.name)
		}
		answer := <-answers
		record("answer to %s: status %d, seal %q, body %q, error %v", r.id, answer.status, answer.seal, answer.body, answer.err)
		switch {
		case answer.status == 200 && string(answer.body) == firstHalf+secondHalf:
			complete++
		case answer.status == 200:
			broken++
			record("BROKEN: the client got a success with a body that is not the server's whole body")
		}
		time.Sleep(3 * time.Second)
	}
	record("%d complete answers, %d successes with half a body", complete, broken)
	switch {
	case broken > 0:
		return exitBroken
	case !troubled() && complete < 4:
		return exitNoRun
	}
	return exitHeld
}
