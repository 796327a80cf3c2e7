// Package e2e drives the daemon and the operators' tool as separate processes over
// loopback, with stand-in upstreams. It holds tests only.
package e2e
