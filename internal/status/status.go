// Package status defines what an instance's operators' API reports.
package status

import "github.com/acacialift/acacialift/internal/peer"

// Report is the answer to GET /status of one instance.
type Report struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Incarnation int64  `json:"incarnation"`
	Draining    bool   `json:"draining"`
	// Config and Instances describe the two published values in force.
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
	// Source is "platform" or "peer".
	Source string `json:"source"`
	// AgeMS is the time since the revision was accepted.
	AgeMS int64 `json:"age_ms"`
	// Rejected lists the findings of the last value that was refused.
	Rejected []string `json:"rejected,omitempty"`
	// Conflict is true if another document with the same revision was seen.
	Conflict bool `json:"conflict,omitempty"`
}

// Member is an instance as this one sees it.
type Member struct {
	Name         string           `json:"name"`
	State        peer.MemberState `json:"state"`
	Incarnation  int64            `json:"incarnation"`
	Revision     uint64           `json:"revision"`
	ListRevision uint64           `json:"list_revision"`
	// LastContactMS is the time since the last heartbeat that came directly.
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
	// EvidenceAgeMS is the age of the engine's report behind the state; -1 if there is none.
	EvidenceAgeMS int64 `json:"evidence_age_ms"`
}

// Lease is a lease that this instance holds.
type Lease struct {
	Resource   string `json:"resource"`
	ValidForMS int64  `json:"valid_for_ms"`
}

// Gateway is what the instance's gateway last told its controller.
type Gateway struct {
	// ReachedMS is the time since the gateway's last message; -1 if there was none.
	ReachedMS int64              `json:"reached_ms"`
	Stats     peer.GatewayStats  `json:"stats"`
	Refusals  []peer.AnswerCount `json:"credit_refusals"`
}

// Control is the cost of the control process.
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
