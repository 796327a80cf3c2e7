// Package e2e tests the daemon and the operators' tool end to end, as separate processes
// over loopback with stand-in upstreams. It contains tests only.
package e2e
