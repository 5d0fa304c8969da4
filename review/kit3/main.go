// Command review3 holds the stand-ins and the scripts of the third review.
package main

import (
	"os"
	"path/filepath"
)

// trouble is false if the case runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "plain-servers" {
		runPlain(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "engines" {
		runEngines(os.Args[2:])
		return
	}
	if len(os.Args) < 3 {
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		os.Exit(2)
	}
	if folder, err = os.MkdirTemp("", "review3-"); err != nil {
		os.Exit(2)
	}
	run, found := cases[os.Args[1]]
	if !found {
		cannotRun("no such case")
	}
	run()
	exit(0, "the rule held")
}

// configuration is what the operator has written: a plain service and a model service.
func configuration(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 7,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "desk", "health-check": "/health", "max-connections": 100, "cold-start-s": 0.0, "cold-per-s": 0.0},
			map[string]any{
				"name": "engines", "health-check": "/health", "max-connections": 424, "cold-start-s": 3.0, "cold-per-s": 36.0,
				"engine": map[string]any{
					"slots": 16, "kv-capacity-tokens": 405000, "token-kv-bytes": 163840, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917,
					"context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0,
				},
			},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}

func serverEntry(service, address string, slots int, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "nadi-yard", "version": "v1", "slots": slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1, "born": born,
	}
}
