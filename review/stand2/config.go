package main

import (
	"encoding/json"
)

// Names of the deployment's desired state.
const (
	hostName     = "ficu95.example"
	engineName   = "huvo11a"
	plainName    = "wuno96b"
	streamPath   = "/lohu930/2f"
	unsafePath   = "/puxa403/2f"
	safePath     = "/safe11/2f"
	modelName    = "daka510000"
	adapterCount = 32
)

// desiredState returns a desired state with a streaming, an unsafe and a safe route.
func desiredState(version int) []byte {
	route := func(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs,
			"target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": attempts, "sticky": kind == "streaming",
			"resumable": false, "target_gap_ms": 300}
	}
	doc := map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/lohu930/", "streaming", engineName, 12000, 1),
			route("r-unsafe", "/puxa403/", "unsafe", plainName, 5000, 1),
			route("r-safe", "/safe11/", "safe", plainName, 5000, 2),
		},
		"services": []any{
			map[string]any{"name": engineName, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 127741, "kv_token_bytes": 163840, "weights_mb": 230000.0,
					"adapter_slots": adapterSlots, "loads_per_s": 3.1,
					"models": []any{map[string]any{"name": modelName, "weights_mb": 65100.0, "load_time_s": 6.0, "adapters": adapterCount,
						"adapter_mb": 12.0, "warm_s": 0.6, "disk_s": 0.78}}}},
			map[string]any{"name": plainName, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	b, _ := json.Marshal(doc)
	return b
}
