package main

import "fmt"

const deskHost = "desk.example"

var deskServices = []map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}}

// deskRoutes are the routes of a plain service: lookups may be repeated, orders may not.
func deskRoutes() []map[string]any {
	return []map[string]any{
		{"name": "lookup", "host": deskHost, "path_prefix": "/lookup/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": "desk", "max_attempts": 2},
		{"name": "order", "host": deskHost, "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": "desk", "max_attempts": 1},
	}
}

// request writes a request; a body has a length.
func request(method, target, id, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n", method, target, deskHost, id)
	if body != "" {
		s += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}
