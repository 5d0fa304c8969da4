package controller

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/platform"
	"github.com/acacialift/acacialift/internal/status"
)

const (
	platformReads         = "platform.reads"
	creditRefusedPrefix   = "credit.refused."
	unknownMS             = -1
	operatorsBearerPrefix = "Bearer "
)

// serveOperators handles requests of the operators' API.
func (c *Controller) serveOperators(w http.ResponseWriter, r *http.Request) {
	if !c.authorized(r) {
		c.log.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("operators_refused")
		writeJSON(w, http.StatusUnauthorized, map[string]string{"error": "wrong or missing bearer key"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /status":
		writeJSON(w, http.StatusOK, c.status())
	case "GET /metrics":
		c.updateGauges()
		writeJSON(w, http.StatusOK, c.metrics)
	case "GET /config":
		w.Header().Set("Content-Type", "application/yaml")
		_, _ = w.Write(c.documents.bytes(peer.SubjectConfig))
	case "POST /drain":
		c.StartDrain("operator")
		writeJSON(w, http.StatusAccepted, map[string]bool{"draining": true})
	default:
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such path"})
	}
}

func (c *Controller) authorized(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), operatorsBearerPrefix)
	expected := c.settings.Keys.Operators.Reveal()
	return ok && subtle.ConstantTimeCompare([]byte(key), []byte(expected)) == 1
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		code, body = http.StatusInternalServerError, []byte(`{"error":"encoding failed"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(body)
}

func (c *Controller) status() status.Report {
	now := time.Now()
	report := status.Report{
		Instance:    c.settings.Instance,
		Domain:      c.settings.Domain,
		Region:      c.settings.Region,
		Incarnation: c.incarnation,
		Config:      valueStatus(c.documents.configs.Status()),
		Instances:   valueStatus(c.documents.instances.Status()),
		Control:     c.resourceUsage(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Draining = c.table.Leaving()
	report.Control.AccountsOwned = len(c.accounts)
	report.Control.KeySlotsHeld = c.keySlotsHeld(now)
	report.Control.KeysRemembered = c.keys.Len()
	report.Members = c.memberStatus(now)
	report.Endpoints = c.endpointStatus(now)
	for _, resource := range c.holder.Wanted() {
		if held, ok := c.holder.Holds(now, resource); ok {
			report.Leases = append(report.Leases, status.Lease{
				Resource: resource, ValidForMS: held.ValidUntil.Sub(now).Milliseconds(),
			})
		}
	}
	report.Gateway = c.gatewayStatus(now)
	return report
}

func valueStatus(s platform.Status) status.Value {
	value := status.Value{
		Revision: s.Revision, Source: s.Source, AgeMS: s.Age.Milliseconds(), Conflict: s.Conflict != nil,
	}
	if s.Rejection != nil {
		value.Rejected = strings.Split(s.Rejection.Err.Error(), "\n")
	}
	return value
}

func (c *Controller) memberStatus(now time.Time) []status.Member {
	var members []status.Member
	for _, m := range c.table.Members() {
		members = append(members, status.Member{
			Name: m.Instance.Name, State: m.State, Incarnation: m.Incarnation, Revision: m.Revision,
			ListRevision: m.ListRevision, LastContactMS: now.Sub(m.LastContact).Milliseconds(),
		})
	}
	return members
}

func (c *Controller) endpointStatus(now time.Time) []status.Endpoint {
	if c.index == nil {
		return nil
	}
	var endpoints []status.Endpoint
	for i := range c.index.Document.Endpoints {
		ep := &c.index.Document.Endpoints[i]
		entry := status.Endpoint{
			Name: ep.Name, Service: ep.Service, Domain: ep.Domain, AcceptsWork: c.index.AcceptsWork(ep),
			State: peer.EndpointUnknown, EvidenceAgeMS: unknownMS,
		}
		if reported, ok := c.board.endpoints[ep.Name]; ok {
			s := reported.summary
			entry.State, entry.Owner, entry.FreeTokens, entry.FreeStreams = s.State, s.Owner, s.FreeTokens, s.FreeStreams
			entry.EvidenceAgeMS = s.AgeMS + now.Sub(reported.receivedAt).Milliseconds()
		}
		endpoints = append(endpoints, entry)
	}
	return endpoints
}

func (c *Controller) gatewayStatus(now time.Time) status.Gateway {
	gateway := status.Gateway{ReachedMS: unknownMS, Stats: c.gateway.stats}
	if !c.gateway.receivedAt.IsZero() {
		gateway.ReachedMS = now.Sub(c.gateway.receivedAt).Milliseconds()
	}
	c.metrics.Each(func(name string, metric any) {
		reason, refused := strings.CutPrefix(name, creditRefusedPrefix)
		counter, ok := metric.(metrics.Counter)
		if refused && ok {
			gateway.Refusals = append(gateway.Refusals, peer.AnswerCount{Code: reason, Count: counter.Count()})
		}
	})
	sort.Slice(gateway.Refusals, func(i, j int) bool { return gateway.Refusals[i].Code < gateway.Refusals[j].Code })
	return gateway
}

// resourceUsage returns the traffic and the processor and memory use of this process.
func (c *Controller) resourceUsage() status.Control {
	control := status.Control{
		PeerBytesIn:    c.node.BytesReceived.Load(),
		PeerBytesOut:   c.node.BytesSent.Load(),
		PeerMessages:   c.node.Messages.Load(),
		PlatformReads:  metrics.GetOrRegisterCounter(platformReads, c.metrics).Count(),
		UptimeMS:       time.Since(c.started).Milliseconds(),
		OpenGoroutines: runtime.NumGoroutine(),
		ResidentBytes:  residentBytes(),
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		control.CPUSeconds = cpu.Seconds()
	}
	return control
}

func (c *Controller) updateGauges() {
	usage := c.resourceUsage()
	gauges := map[string]int64{
		"control.cpu_ms":         int64(usage.CPUSeconds * 1000),
		"control.resident_bytes": usage.ResidentBytes,
		"control.peer_bytes_in":  usage.PeerBytesIn,
		"control.peer_bytes_out": usage.PeerBytesOut,
		"control.peer_messages":  usage.PeerMessages,
	}
	for name, value := range gauges {
		metrics.GetOrRegisterGauge(name, c.metrics).Update(value)
	}
}
