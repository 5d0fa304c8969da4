package soak_test

import (
	"encoding/json"
	"fmt"
)

// The types below are the parts of the platform's documents that the tests use.

type configDocument struct {
	Version  int               `json:"version"`
	Routes   []routeDocument   `json:"routes"`
	Services []serviceDocument `json:"services"`
	Tenants  []tenantDocument  `json:"tenants"`
}

type routeDocument struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"path-prefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int64  `json:"timeout-ms"`
	TargetLatencyMS int64  `json:"target-latency-ms"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
	Resumable       bool   `json:"resumable,omitempty"`
}

type serviceDocument struct {
	Name     string  `json:"name"`
	ColdPerS float64 `json:"cold-per-s"`
}

type tenantDocument struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api-keys"`
}

type serverDocument struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMS int64  `json:"cold-remaining-ms,omitempty"`
}

const (
	deskService = "desk"
	poolService = "pool"
	fieldTeam   = "field"
	// planningTeam is the team whose keys are revoked.
	planningTeam = "planning"
	permanentKey = "base-key"

	maxAttempts           = 2
	coldRequestsPerSecond = 5
)

// routeOf returns the route of a kind of request. For kindVersion, each version of the configuration adds its own route.
func routeOf(k kind, version int) routeDocument {
	r := routeDocument{
		Name: string(k), Host: host, PathPrefix: "/" + string(k) + "/", Kind: "idempotent", Service: deskService,
		TimeoutMS: routeTimeout.Milliseconds(), TargetLatencyMS: 300, Attempts: maxAttempts,
	}
	switch k {
	case kindNonIdempotent:
		r.Kind = "non_idempotent"
	case kindResumable, kindNonResumable:
		r.Kind, r.Service, r.Resumable = "streaming", poolService, k == kindResumable
	case kindVersion:
		r.Name = fmt.Sprintf("v-%d", version)
		r.PathPrefix = fmt.Sprintf("/v/%d/", version)
	}
	return r
}

// encodeConfig returns a version of the configuration, with the routes of all versions up to it and the given keys of the
// planning team.
func encodeConfig(version int, keys []string) string {
	d := configDocument{
		Version: version,
		Services: []serviceDocument{
			{Name: deskService, ColdPerS: coldRequestsPerSecond}, {Name: poolService, ColdPerS: coldRequestsPerSecond},
		},
		Tenants: []tenantDocument{{Name: fieldTeam, APIKeys: []string{permanentKey}}, {Name: planningTeam, APIKeys: keys}},
	}
	for _, k := range []kind{kindIdempotent, kindNonIdempotent, kindResumable, kindNonResumable} {
		d.Routes = append(d.Routes, routeOf(k, 0))
	}
	for v := 1; v <= version; v++ {
		d.Routes = append(d.Routes, routeOf(kindVersion, v))
	}
	return encode(d)
}

func encode(document any) string {
	encoded, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}
