package main

// The services, keys and parts of the stand-in deployment.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	keyAlpha     = "n2ctnfzs989anu6wsjnb"
	keyBeta      = "anfqasnmgkcuyj8pjbvk"
	pathStream   = "/lohu930/2f"
	pathOnce     = "/puxa403/2f"
	pathSafe     = "/cufi504/2f"
)

var zones = []string{"nadi-yard", "lautoka-yard", "sigatoka-yard"}

// config returns a configuration like those of the site vtag-core. Tenant alpha always has its key; tenant beta has it if
// withBeta is true.
func config(version int, withBeta bool, plainCold float64) map[string]any {
	betaKeys := []string{}
	if withBeta {
		betaKeys = append(betaKeys, keyBeta)
	}
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": target,
			"priority": 1, "service": service, "attempts": attempts, "public": false,
		}
	}
	stream := route("r-2yhvz3p", "/lohu930/", "streaming", modelService, 10000, 300, 2)
	stream["sticky"], stream["resumable"], stream["gap-target-ms"] = true, true, 250
	return map[string]any{
		"version": version,
		"routes": []any{
			stream,
			route("r-fi6y7z5", "/puxa403/", "non_idempotent", plainService, 1000, 150, 1),
			route("r-9qk2m1x", "/cufi504/", "idempotent", plainService, 1000, 150, 2),
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health-check": "/health", "max-connections": 424, "protocol": "h1", "tls": false,
				"cold-start-s": 3.0, "cold-per-s": 36.0,
				"engine": map[string]any{
					"slots": 16, "kv-capacity-tokens": 405000, "token-kv-bytes": 163840, "link-mbps": 400000.0, "stride": 34,
					"models": []any{map[string]any{"name": "m"}}, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
					"read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0,
				},
			},
			map[string]any{
				"name": plainService, "health-check": "/health", "max-connections": 100, "protocol": "h1", "tls": false,
				"cold-start-s": 3.0, "cold-per-s": plainCold,
			},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{
			map[string]any{"name": "hule930", "api-keys": []string{keyAlpha}, "priority": 1},
			map[string]any{"name": "kira112", "api-keys": betaKeys, "priority": 1},
		},
	}
}

// streamHeader returns the headers of a request for a stream with the given parts of its prompt.
func streamHeader(prefix string) map[string]string {
	return map[string]string{
		"Acacialift-Model": "m", "Acacialift-Token-Usage": "1460,80", "Acacialift-Prompt-Prefix": prefix,
	}
}
