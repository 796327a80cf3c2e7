// Package capacity measures what the system's control traffic costs as the deployment
// grows, with light stand-in connections in one process. It holds benchmarks only;
// docs/CAPACITY.md is worked out from them.
package capacity
