package soak_test

import (
	"encoding/json"
	"fmt"
)

// The shapes below are the parts of the platform's documents that a round uses.

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
	desk  = "desk"
	pool  = "pool"
	field = "field"
	// planning is the team whose keys are taken away.
	planning = "planning"
	baseKey  = "base-key"

	attemptLimit  = 2
	coldPerSecond = 5
)

// routeOf returns the route of a kind of request; those of versions have a route each.
func routeOf(k kind, version int) routeDocument {
	r := routeDocument{
		Name: string(k), Host: host, PathPrefix: "/" + string(k) + "/", Kind: "idempotent", Service: desk,
		TimeoutMS: profileTime.Milliseconds(), TargetLatencyMS: 300, Attempts: attemptLimit,
	}
	switch k {
	case kindOnce:
		r.Kind = "non_idempotent"
	case kindWords, kindTale:
		r.Kind, r.Service, r.Resumable = "streaming", pool, k == kindWords
	case kindVersion:
		r.Name = fmt.Sprintf("v-%d", version)
		r.PathPrefix = fmt.Sprintf("/v/%d/", version)
	}
	return r
}

// configWith returns the configuration with the routes of all versions until one, and the given keys of planning.
func configWith(version int, keys []string) string {
	d := configDocument{
		Version:  version,
		Services: []serviceDocument{{Name: desk, ColdPerS: coldPerSecond}, {Name: pool, ColdPerS: coldPerSecond}},
		Tenants:  []tenantDocument{{Name: field, APIKeys: []string{baseKey}}, {Name: planning, APIKeys: keys}},
	}
	for _, k := range []kind{kindSafe, kindOnce, kindWords, kindTale} {
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
