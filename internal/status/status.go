// Package status defines the reports of the operators' API.
package status

import "github.com/acacialift/acacialift/internal/peer"

// Report is an instance's response to GET /status.
type Report struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Incarnation int64  `json:"incarnation"`
	Draining    bool   `json:"draining"`
	// Config and Instances describe the configuration document and the instance list in force.
	Config    Value      `json:"config"`
	Instances Value      `json:"instances"`
	Members   []Member   `json:"members"`
	Endpoints []Endpoint `json:"endpoints"`
	Leases    []Lease    `json:"leases"`
	Gateway   Gateway    `json:"gateway"`
	Control   Control    `json:"control"`
}

// Value describes a published value in force.
type Value struct {
	Revision uint64 `json:"revision"`
	// Source is "platform" and the address that sent the value, or "peer".
	Source string `json:"source"`
	// AgeMS is the time since the revision was accepted.
	AgeMS int64 `json:"age_ms"`
	// Rejected lists the findings of the last rejected value.
	Rejected []string `json:"rejected,omitempty"`
	// Conflict is true if a different document with the same revision was received.
	Conflict bool `json:"conflict,omitempty"`
}

// Member is the state of an instance as known to the reporting instance.
type Member struct {
	Name         string           `json:"name"`
	State        peer.MemberState `json:"state"`
	Incarnation  int64            `json:"incarnation"`
	Revision     uint64           `json:"revision"`
	ListRevision uint64           `json:"list_revision"`
	// LastContactMS is the time since the last heartbeat that was received directly from the member.
	LastContactMS int64 `json:"heard_ms"`
}

// Endpoint is the latest known state of an endpoint.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// AcceptsWork is false if the endpoint is leaving or its failure domain is out of service.
	AcceptsWork bool               `json:"accepts_work"`
	State       peer.EndpointState `json:"state"`
	Owner       string             `json:"owner"`
	FreeTokens  int64              `json:"free_tokens"`
	FreeStreams int                `json:"free_streams"`
	// EvidenceAgeMS is the age of the engine's load report from which the state is derived; -1 if there is none.
	EvidenceAgeMS int64 `json:"evidence_age_ms"`
}

// Lease is a lease that the reporting instance holds.
type Lease struct {
	Resource   string `json:"resource"`
	ValidForMS int64  `json:"valid_for_ms"`
}

// Gateway is the last state that the instance's gateway sent to its controller.
type Gateway struct {
	// ReachedMS is the time since the gateway's last message; -1 if there was none.
	ReachedMS int64              `json:"reached_ms"`
	Stats     peer.GatewayStats  `json:"stats"`
	Refusals  []peer.AnswerCount `json:"credit_refusals"`
}

// Control is the resource usage, message traffic and state size of the controller.
type Control struct {
	CPUSeconds     float64 `json:"cpu_seconds"`
	ResidentBytes  int64   `json:"resident_bytes"`
	PeerBytesIn    int64   `json:"peer_bytes_in"`
	PeerBytesOut   int64   `json:"peer_bytes_out"`
	PeerMessages   int64   `json:"peer_messages"`
	PlatformReads  int64   `json:"platform_reads"`
	UptimeMS       int64   `json:"uptime_ms"`
	OpenGoroutines int     `json:"goroutines"`
	AccountsOwned  int     `json:"accounts_owned"`
	KeySlotsHeld   int     `json:"key_slots_held"`
	KeysRemembered int     `json:"keys_remembered"`
}
