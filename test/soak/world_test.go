package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/platform/platformtest"
)

const (
	entryCount    = 4
	callerCount   = 10
	coldTime      = 3 * time.Second
	lapseTime     = 3 * time.Second
	drainTime     = 3 * time.Second
	reuseTime     = 2 * time.Second
	spoilShare    = 0.3
	storeSubject  = "store"
	keptKeys      = 3
	startTime     = 30 * time.Second
	recoveryTime  = 15 * time.Second
	checkInterval = 100 * time.Millisecond
)

var domains = []string{"yard-1", "yard-2"}

// world is a deployment under test: processes, stand-ins and the links between them.
type world struct {
	name    string
	record  *record
	store   *platformtest.Store
	server  *http.Server
	entries []*entry
	// restarting keeps one restart of an entry at a time.
	restarting []sync.Mutex
	pressing   atomic.Bool

	mu sync.Mutex
	// endpoints holds the endpoint of each place; all holds also those that have left.
	endpoints []*endpoint
	all       []*endpoint
	number    int
	versions  int
	keys      []string
	keyNumber int
	retired   []string
	evacuated []evacuation
}

// evacuation is the time during which a domain was out of service.
type evacuation struct {
	domain string
	span
}

func newWorld(name, dir string) (*world, error) {
	w := &world{name: name, record: newRecord(), store: platformtest.NewStore(), restarting: make([]sync.Mutex, entryCount)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	for range keptKeys {
		w.addKey()
	}
	w.publish()
	for i, service := range []string{desk, desk, desk, pool, pool, pool} {
		e, err := w.addEndpoint(service, domains[i%len(domains)], nil, 0)
		if err != nil {
			return nil, err
		}
		w.endpoints = append(w.endpoints, e)
	}
	return w, w.startEntries(dir, listener.Addr().String())
}

func (w *world) startEntries(dir, store string) error {
	var err error
	addresses := testkit.FreeAddresses(4 * entryCount)
	seeds := []string{addresses[2], addresses[6], "127.0.0.1:1"}
	for i := range entryCount {
		own := addresses[4*i : 4*i+4]
		e := &entry{index: i, record: w.record, dir: filepath.Join(dir, entrySubject(i))}
		if e.link, err = newLink(own[0]); err != nil {
			return err
		}
		if e.store, err = newLink(store); err != nil {
			return err
		}
		e.settings = testkit.EntrySettings{
			Instance: entrySubject(i), Domain: domains[i%len(domains)], Store: e.store.address(), Seeds: seeds,
			Callers: own[0], Readiness: own[1], Peers: own[2], Metrics: own[3],
		}
		if err := e.prepare(); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	return nil
}

// addEndpoint starts an endpoint and enters it in the store. It takes over the address of a given link.
func (w *world) addEndpoint(service, domain string, at *link, cold time.Duration) (*endpoint, error) {
	w.mu.Lock()
	w.number++
	id := fmt.Sprintf("i-%d", w.number)
	w.mu.Unlock()
	e, err := startEndpoint(id, service, domain, w.record)
	if err != nil {
		return nil, err
	}
	if e.link = at; at != nil {
		at.setTarget(e.address)
	} else if e.link, err = newLink(e.address); err != nil {
		return nil, err
	}
	if cold > 0 {
		w.record.update(func() { w.record.cold[id] = span{from: time.Now(), to: time.Now().Add(cold)} })
	}
	w.enter(e, "ready", cold)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, e)
	return e, nil
}

func (w *world) enter(e *endpoint, state string, cold time.Duration) {
	w.store.Put("servers/"+e.id, encode(serverDocument{
		Service: e.service, Address: e.link.address(), Zone: e.domain, Slots: endpointSlots, State: state,
		ColdRemainingMS: cold.Milliseconds(),
	}))
}

// publish writes the next version of the configuration.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions++
	w.store.Put("op/config", configWith(w.versions, w.keys))
	published := time.Now()
	w.record.update(func() { w.record.published = append(w.record.published, published) })
}

// version returns the newest version that the store has acknowledged.
func (w *world) version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versions
}

func (w *world) addKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keyNumber++
	w.keys = append(w.keys, fmt.Sprintf("key-%d", w.keyNumber))
}

// revoke takes the oldest key of planning away and adds another one.
func (w *world) revoke() {
	w.addKey()
	w.mu.Lock()
	key := w.keys[0]
	w.keys = w.keys[1:]
	w.retired = append(w.retired, key)
	w.mu.Unlock()
	w.publish()
	w.record.update(func() { w.record.revoked[key] = time.Now() })
}

// drawKey returns a key: mostly the one that stays, else one that may have been taken away.
func (w *world) drawKey(random *rand.Rand) string {
	if random.IntN(3) > 0 {
		return baseKey
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	candidates := append(append([]string(nil), w.keys...), w.retired[max(0, len(w.retired)-keptKeys):]...)
	return candidates[random.IntN(len(candidates))]
}

// apply carries out a step and returns at its end.
func (w *world) apply(s step) {
	switch s.action {
	case entryTerm:
		w.restart(s, syscall.SIGTERM)
	case entryKill:
		w.restart(s, syscall.SIGKILL)
	case entryPause:
		w.pause(s)
	case entryReload:
		w.reload(s)
	case storeDown:
		w.failStore(s)
	case storeForget:
		w.store.ForgetHistory()
	case storeLink:
		e := w.entries[s.target%entryCount]
		w.harm(e.store, entrySubject(e.index), s)
	case callersLink:
		e := w.entries[s.target%entryCount]
		w.harm(e.link, entrySubject(e.index), s)
	case endpointLink:
		e := w.endpointAt(s.target)
		w.harm(e.link, e.id, s)
	case endpointSpoil:
		e := w.endpointAt(s.target)
		e.setSpoil(spoilShare)
		time.Sleep(s.length)
		e.setSpoil(0)
	case endpointCrash:
		w.crash(s)
	case endpointDrain:
		w.drain(s)
	case changeConfig:
		w.publish()
	case revokeKey:
		w.revoke()
	case evacuate:
		w.evacuate(s)
	case burst:
		w.pressing.Store(true)
		time.Sleep(s.length / 2)
		w.pressing.Store(false)
	}
}

func (w *world) endpointAt(target int) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[target%len(w.endpoints)]
}

func (w *world) harm(l *link, subject string, s step) {
	end := w.record.disturb(subject)
	defer end()
	l.set(s.mode, s.delay)
	time.Sleep(s.length)
	l.set(linkUp, 0)
}

func (w *world) restart(s step, signal syscall.Signal) {
	e := w.entries[s.target%entryCount]
	if !w.restarting[e.index].TryLock() {
		return
	}
	defer w.restarting[e.index].Unlock()
	subject := entrySubject(e.index)
	if signal == syscall.SIGTERM {
		subject = plannedSubject(e.index)
	}
	end := w.record.disturb(subject)
	defer end()
	e.stop(signal)
	time.Sleep(s.length / 4)
	if err := e.start(); err != nil {
		w.record.fault("start: " + err.Error())
	}
}

func (w *world) pause(s step) {
	e := w.entries[s.target%entryCount]
	end := w.record.disturb(entrySubject(e.index))
	defer end()
	e.signal(syscall.SIGSTOP)
	time.Sleep(s.length)
	e.signal(syscall.SIGCONT)
}

// reload writes the settings again and signals it.
func (w *world) reload(s step) {
	e := w.entries[s.target%entryCount]
	if err := e.settings.Write(e.path("entry.yaml")); err != nil {
		w.record.fault("settings: " + err.Error())
	}
	e.signal(syscall.SIGHUP)
}

func (w *world) failStore(s step) {
	end := w.record.disturb(storeSubject)
	defer end()
	fault := platformtest.Fault{Hang: true}
	if s.mode != linkSilent {
		fault = platformtest.Fault{Status: http.StatusServiceUnavailable}
	}
	w.store.SetFault(fault)
	time.Sleep(s.length)
	w.store.SetFault(platformtest.Fault{})
}

// crash ends an endpoint without notice; its entry lapses, and another one starts cold.
func (w *world) crash(s step) {
	e := w.endpointAt(s.target)
	w.record.disturb(e.id)
	_ = e.server.Close()
	time.Sleep(lapseTime)
	w.store.Remove("servers/" + e.id)
	w.replace(s.target, e)
}

// drain ends an endpoint by plan: another one starts first, and an endpoint of another service takes over its address.
func (w *world) drain(s step) {
	e := w.endpointAt(s.target)
	if !w.replace(s.target, e) {
		return
	}
	w.enter(e, "draining", 0)
	w.record.update(func() { w.record.leaving[e.id] = time.Now() })
	time.Sleep(drainTime + time.Second)
	w.record.disturb(e.id)
	w.store.Remove("servers/" + e.id)
	_ = e.server.Close()
	time.Sleep(reuseTime)
	other := map[string]string{desk: pool, pool: desk}[e.service]
	if _, err := w.addEndpoint(other, e.domain, e.link, coldTime); err != nil {
		w.record.fault("endpoint: " + err.Error())
	}
}

// replace puts a new endpoint into a place, unless another one has been put there already.
func (w *world) replace(target int, old *endpoint) bool {
	place := target % len(w.endpoints)
	w.mu.Lock()
	current := w.endpoints[place] == old
	w.mu.Unlock()
	if !current {
		return false
	}
	e, err := w.addEndpoint(old.service, old.domain, nil, coldTime)
	if err != nil {
		w.record.fault("endpoint: " + err.Error())
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints[place] = e
	return true
}

func (w *world) evacuate(s step) {
	domain := domains[s.target%len(domains)]
	w.store.Put("op/evacuate/"+domain, "{}")
	begun := time.Now()
	time.Sleep(s.length)
	ended := time.Now()
	w.store.Remove("op/evacuate/" + domain)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = append(w.evacuated, evacuation{domain: domain, span: span{from: begun, to: ended}})
}

// play runs the plan under load and returns when all steps have ended.
func (w *world) play(steps []step, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	var callers, running sync.WaitGroup
	for i := range callerCount {
		c := newCaller(w, seed*callerCount+uint64(i))
		callers.Go(func() { c.serve(ctx) })
	}
	begin := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(begin.Add(s.at)))
		running.Go(func() { w.apply(s) })
	}
	running.Wait()
	w.recover()
	stop()
	callers.Wait()
}

// recover waits until all instances serve again after the last disturbance.
func (w *world) recover() {
	probe := newCaller(w, 0)
	for _, e := range w.entries {
		limit := time.Now().Add(recoveryTime)
		for !w.serves(probe, e) {
			if time.Now().After(limit) {
				w.record.fault(fmt.Sprintf("RECOVER: %s does not serve %s after the last disturbance", entrySubject(e.index), recoveryTime))
				break
			}
			time.Sleep(checkInterval)
		}
		e.checkResources()
	}
}

// serves reports that an instance is ready and answers one request of each service.
func (w *world) serves(probe *caller, e *entry) bool {
	if !e.isReady() {
		return false
	}
	for _, k := range []kind{kindSafe, kindWords} {
		q := &request{id: fmt.Sprintf("%s-%d", w.name, requestNumbers.Add(1)), kind: k, key: baseKey, entry: e.index, deadline: callerDeadline}
		load := workload{time: time.Millisecond, events: 2}
		q.path, q.body = fmt.Sprintf("/%s/%s", k, q.id), load.String()
		probe.send(q)
		if q.status != http.StatusOK || !q.whole {
			return false
		}
	}
	return true
}

// stop ends all processes by plan, then the stand-ins.
func (w *world) stop() {
	var stopping sync.WaitGroup
	for _, e := range w.entries {
		stopping.Go(func() {
			if e.cmd != nil {
				e.signal(syscall.SIGCONT)
				e.stop(syscall.SIGTERM)
			}
			e.link.close()
			e.store.close()
		})
	}
	stopping.Wait()
	for _, e := range w.all {
		_ = e.server.Close()
		e.link.close()
	}
	_ = w.server.Close()
}
