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
	entryCount  = 4
	callerCount = 10
	coldTime    = 3 * time.Second
	// expiryTime is the time after which the store drops an endpoint that has crashed.
	expiryTime = 3 * time.Second
	drainTime  = 3 * time.Second
	// reuseTime is the time from the stop of an endpoint until another service gets its address.
	reuseTime              = 2 * time.Second
	faultyResponseFraction = 0.3
	storeSubject           = "store"
	// planningKeyCount is the number of valid keys of the planning team, and of revoked ones that callers still use.
	planningKeyCount = 3
	startTime        = 30 * time.Second
	recoveryTime     = 15 * time.Second
	checkInterval    = 100 * time.Millisecond
)

var domains = []string{"yard-1", "yard-2"}

// deployment is what a round tests: entry processes, stand-ins of the platform, and the links between them.
type deployment struct {
	name string
	// mode is the mode of the scheduling at all instances.
	mode        string
	record      *record
	store       *platformtest.Store
	storeServer *http.Server
	entries     []*entry
	// restartLocks holds a lock for each entry, because restarts of one entry must not overlap.
	restartLocks []sync.Mutex
	// bursting is true while callers send without an interval.
	bursting atomic.Bool

	mu sync.Mutex
	// endpoints holds the current endpoints at fixed positions, allEndpoints also the ones that were replaced.
	endpoints          []*endpoint
	allEndpoints       []*endpoint
	lastEndpointNumber int
	lastVersion        int
	keys               []string
	lastKeyNumber      int
	revokedKeys        []string
	evacuations        []evacuation
}

// evacuation is an interval during which a domain was out of service.
type evacuation struct {
	domain string
	span
}

// newDeployment starts a deployment whose instances have the given mode of all parts of the scheduling.
func newDeployment(name, dir, mode string) (*deployment, error) {
	d := &deployment{
		name: name, mode: mode, record: newRecord(), store: platformtest.NewStore(), restartLocks: make([]sync.Mutex, entryCount),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeServer = &http.Server{Handler: d.store}
	go func() { _ = d.storeServer.Serve(listener) }()
	for range planningKeyCount {
		d.addKey()
	}
	d.publish()
	for i, service := range []string{deskService, deskService, deskService, poolService, poolService, poolService} {
		e, err := d.addEndpoint(service, domains[i%len(domains)], nil, 0)
		if err != nil {
			return nil, err
		}
		d.endpoints = append(d.endpoints, e)
	}
	return d, d.prepareEntries(dir, listener.Addr().String())
}

func (d *deployment) prepareEntries(dir, store string) error {
	var err error
	addresses := testkit.FreeAddresses(4 * entryCount)
	seeds := []string{addresses[2], addresses[6], "127.0.0.1:1"}
	for i := range entryCount {
		own := addresses[4*i : 4*i+4]
		e := &entry{index: i, record: d.record, dir: filepath.Join(dir, entryName(i))}
		if e.callerLink, err = newLink(own[0]); err != nil {
			return err
		}
		if e.storeLink, err = newLink(store); err != nil {
			return err
		}
		e.settings = testkit.EntrySettings{
			Instance: entryName(i), Domain: domains[i%len(domains)], Store: e.storeLink.address(), Seeds: seeds,
			Callers: own[0], Readiness: own[1], Peers: own[2], Metrics: own[3],
			Queue: d.mode, ReturnTimes: d.mode, Pace: d.mode,
		}
		if err := e.writeSettings(); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

// addEndpoint starts an endpoint and puts it into the store. The endpoint is reached through the given link or, if that
// is nil, through a new one.
func (d *deployment) addEndpoint(service, domain string, via *link, cold time.Duration) (*endpoint, error) {
	d.mu.Lock()
	d.lastEndpointNumber++
	id := fmt.Sprintf("i-%d", d.lastEndpointNumber)
	d.mu.Unlock()
	e, err := startEndpoint(id, service, domain, d.record)
	if err != nil {
		return nil, err
	}
	if e.link = via; via != nil {
		via.setTarget(e.address)
	} else if e.link, err = newLink(e.address); err != nil {
		return nil, err
	}
	if cold > 0 {
		d.record.update(func() { d.record.cold[id] = span{from: time.Now(), to: time.Now().Add(cold)} })
	}
	d.putEndpoint(e, "ready", cold)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allEndpoints = append(d.allEndpoints, e)
	return e, nil
}

func (d *deployment) putEndpoint(e *endpoint, state string, cold time.Duration) {
	d.store.Put("servers/"+e.id, encode(serverDocument{
		Service: e.service, Address: e.link.address(), Zone: e.domain, Slots: endpointSlots, State: state,
		ColdRemainingMS: cold.Milliseconds(),
	}))
}

// publish puts the next version of the configuration into the store.
func (d *deployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastVersion++
	d.store.Put("op/config", encodeConfig(d.lastVersion, d.keys))
	published := time.Now()
	d.record.update(func() { d.record.published = append(d.record.published, published) })
}

// version returns the newest version that the store has acknowledged.
func (d *deployment) version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastVersion
}

func (d *deployment) addKey() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastKeyNumber++
	d.keys = append(d.keys, fmt.Sprintf("key-%d", d.lastKeyNumber))
}

// revokeOldestKey replaces the oldest key of the planning team by a new one.
func (d *deployment) revokeOldestKey() {
	d.addKey()
	d.mu.Lock()
	key := d.keys[0]
	d.keys = d.keys[1:]
	d.revokedKeys = append(d.revokedKeys, key)
	d.mu.Unlock()
	d.publish()
	d.record.update(func() { d.record.revoked[key] = time.Now() })
}

// drawKey returns the permanent key in two of three draws, else a valid or recently revoked key of the planning team.
func (d *deployment) drawKey(random *rand.Rand) string {
	if random.IntN(3) > 0 {
		return permanentKey
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := append(append([]string(nil), d.keys...), d.revokedKeys[max(0, len(d.revokedKeys)-planningKeyCount):]...)
	return candidates[random.IntN(len(candidates))]
}

// runStep runs a step and returns at its end.
func (d *deployment) runStep(s step) {
	switch s.action {
	case entryTerm:
		d.restartEntry(s, syscall.SIGTERM)
	case entryKill:
		d.restartEntry(s, syscall.SIGKILL)
	case entryPause:
		d.pauseEntry(s)
	case entryReload:
		d.reloadEntry(s)
	case storeDown:
		d.failStore(s)
	case storeForget:
		d.store.ForgetHistory()
	case storeLink:
		e := d.entries[s.target%entryCount]
		d.disturbLink(e.storeLink, entryName(e.index), s)
	case callersLink:
		e := d.entries[s.target%entryCount]
		d.disturbLink(e.callerLink, entryName(e.index), s)
	case endpointLink:
		e := d.endpointAt(s.target)
		d.disturbLink(e.link, e.id, s)
	case endpointFaulty:
		e := d.endpointAt(s.target)
		e.setFaultyFraction(faultyResponseFraction)
		time.Sleep(s.length)
		e.setFaultyFraction(0)
	case endpointCrash:
		d.crashEndpoint(s)
	case endpointDrain:
		d.drainEndpoint(s)
	case changeConfig:
		d.publish()
	case revokeKey:
		d.revokeOldestKey()
	case evacuate:
		d.evacuateDomain(s)
	case burst:
		d.bursting.Store(true)
		time.Sleep(s.length / 2)
		d.bursting.Store(false)
	}
}

func (d *deployment) endpointAt(target int) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints[target%len(d.endpoints)]
}

func (d *deployment) disturbLink(l *link, subject string, s step) {
	end := d.record.markDisturbed(subject)
	defer end()
	l.setMode(s.mode, s.delay)
	time.Sleep(s.length)
	l.setMode(linkUp, 0)
}

func (d *deployment) restartEntry(s step, signal syscall.Signal) {
	e := d.entries[s.target%entryCount]
	if !d.restartLocks[e.index].TryLock() {
		return
	}
	defer d.restartLocks[e.index].Unlock()
	subject := entryName(e.index)
	if signal == syscall.SIGTERM {
		subject = shutdownSubject(e.index)
	}
	end := d.record.markDisturbed(subject)
	defer end()
	e.stop(signal)
	time.Sleep(s.length / 4)
	if err := e.start(); err != nil {
		d.record.addFailure("restart of an instance: " + err.Error())
	}
}

func (d *deployment) pauseEntry(s step) {
	e := d.entries[s.target%entryCount]
	end := d.record.markDisturbed(entryName(e.index))
	defer end()
	e.signal(syscall.SIGSTOP)
	time.Sleep(s.length)
	e.signal(syscall.SIGCONT)
}

// reloadEntry writes the same settings again and sends SIGHUP.
func (d *deployment) reloadEntry(s step) {
	e := d.entries[s.target%entryCount]
	if err := e.settings.Write(e.path("entry.yaml")); err != nil {
		d.record.addFailure("writing the settings: " + err.Error())
	}
	e.signal(syscall.SIGHUP)
}

func (d *deployment) failStore(s step) {
	end := d.record.markDisturbed(storeSubject)
	defer end()
	fault := platformtest.Fault{Hang: true}
	if s.mode != linkBlocked {
		fault = platformtest.Fault{Status: http.StatusServiceUnavailable}
	}
	d.store.SetFault(fault)
	time.Sleep(s.length)
	d.store.SetFault(platformtest.Fault{})
}

// restoreStore makes the store come back from a copy after a while, and writes what is lost again.
func (d *deployment) restoreStore(s restoreStep, started time.Time) {
	time.Sleep(time.Until(started.Add(s.copyAt)))
	copied := d.store.Copy()
	time.Sleep(time.Until(started.Add(s.at)))
	end := d.record.markDisturbed(storeSubject)
	defer end()
	d.store.SetFault(platformtest.Fault{Status: http.StatusServiceUnavailable})
	time.Sleep(s.length)
	lost := d.store.Restore(copied)
	d.store.SetFault(platformtest.Fault{})
	time.Sleep(s.rewriteDelay)
	d.store.WriteAgain(lost, copied)
}

// crashEndpoint stops an endpoint without draining it, removes it from the store after expiryTime, and starts a cold
// replacement.
func (d *deployment) crashEndpoint(s step) {
	e := d.endpointAt(s.target)
	d.record.markDisturbed(e.id)
	_ = e.server.Close()
	time.Sleep(expiryTime)
	d.store.Remove("servers/" + e.id)
	d.replaceEndpoint(s.target, e)
}

// drainEndpoint starts a replacement, drains the endpoint and stops it. After reuseTime, an endpoint of the other service
// gets its address.
// limitEndpoint makes an endpoint name a request rate for a while.
func (d *deployment) limitEndpoint(l limitStep) {
	e := d.endpointAt(l.target)
	from := time.Now()
	e.setRequestRate(l.perSecond)
	time.Sleep(l.length)
	e.setRequestRate(0)
	d.record.update(func() {
		d.record.limits = append(d.record.limits, limitSpan{
			endpoint: e.id, perSecond: l.perSecond, span: span{from: from, to: time.Now()},
		})
	})
}

func (d *deployment) drainEndpoint(s step) {
	e := d.endpointAt(s.target)
	if !d.replaceEndpoint(s.target, e) {
		return
	}
	d.putEndpoint(e, "draining", 0)
	d.record.update(func() { d.record.leaving[e.id] = time.Now() })
	time.Sleep(drainTime + time.Second)
	d.record.markDisturbed(e.id)
	d.store.Remove("servers/" + e.id)
	_ = e.server.Close()
	time.Sleep(reuseTime)
	other := map[string]string{deskService: poolService, poolService: deskService}[e.service]
	if _, err := d.addEndpoint(other, e.domain, e.link, coldTime); err != nil {
		d.record.addFailure("start of an endpoint at a reused address: " + err.Error())
	}
}

// replaceEndpoint replaces the old endpoint by a new one of the same service and domain. It returns false if another step
// has replaced it already, or if the new endpoint did not start.
func (d *deployment) replaceEndpoint(target int, old *endpoint) bool {
	position := target % len(d.endpoints)
	d.mu.Lock()
	current := d.endpoints[position] == old
	d.mu.Unlock()
	if !current {
		return false
	}
	e, err := d.addEndpoint(old.service, old.domain, nil, coldTime)
	if err != nil {
		d.record.addFailure("start of a replacement endpoint: " + err.Error())
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints[position] = e
	return true
}

func (d *deployment) evacuateDomain(s step) {
	domain := domains[s.target%len(domains)]
	d.store.Put("op/evacuate/"+domain, "{}")
	started := time.Now()
	time.Sleep(s.length)
	ended := time.Now()
	d.store.Remove("op/evacuate/" + domain)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuations = append(d.evacuations, evacuation{domain: domain, span: span{from: started, to: ended}})
}

// runPlan runs the steps while callers send requests, and returns when all steps have ended and the instances serve.
func (d *deployment) runPlan(steps []step, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	var callers, running sync.WaitGroup
	for i := range callerCount {
		c := newCaller(d, seed*callerCount+uint64(i))
		callers.Go(func() { c.sendAll(ctx) })
	}
	started := time.Now()
	limited := drawLimit(seed, steps[len(steps)-1].at)
	running.Go(func() {
		time.Sleep(limited.at)
		d.limitEndpoint(limited)
	})
	restored := drawRestore(seed, steps[len(steps)-1].at)
	running.Go(func() { d.restoreStore(restored, started) })
	for _, s := range steps {
		time.Sleep(time.Until(started.Add(s.at)))
		running.Go(func() { d.runStep(s) })
	}
	running.Wait()
	d.awaitRecovery()
	stop()
	callers.Wait()
}

// awaitRecovery waits up to recoveryTime for each instance to serve again, and checks its resources.
func (d *deployment) awaitRecovery() {
	probe := newCaller(d, 0)
	for _, e := range d.entries {
		limit := time.Now().Add(recoveryTime)
		for !d.serves(probe, e) {
			if time.Now().After(limit) {
				d.record.addFailure(fmt.Sprintf("RECOVER: %s does not serve %s after the last disturbance",
					entryName(e.index), recoveryTime))
				break
			}
			time.Sleep(checkInterval)
		}
		e.checkResources()
	}
}

// serves reports whether an instance is ready and serves one request of each service.
func (d *deployment) serves(probe *caller, e *entry) bool {
	if !e.isReady() {
		return false
	}
	for _, k := range []kind{kindIdempotent, kindResumable} {
		q := &request{
			id: fmt.Sprintf("%s-%d", d.name, requestNumbers.Add(1)), kind: k, key: permanentKey, entry: e.index,
			deadline: callerDeadline,
		}
		load := workload{time: time.Millisecond, events: 2}
		q.path, q.body = fmt.Sprintf("/%s/%s", k, q.id), load.String()
		probe.send(q)
		if q.status != http.StatusOK || !q.complete {
			return false
		}
	}
	return true
}

// stop shuts down all processes gracefully, then the stand-ins.
func (d *deployment) stop() {
	var stopping sync.WaitGroup
	for _, e := range d.entries {
		stopping.Go(func() {
			if e.cmd != nil {
				e.signal(syscall.SIGCONT)
				e.stop(syscall.SIGTERM)
			}
			e.callerLink.close()
			e.storeLink.close()
		})
	}
	stopping.Wait()
	for _, e := range d.allEndpoints {
		_ = e.server.Close()
		e.link.close()
	}
	_ = d.storeServer.Close()
}
