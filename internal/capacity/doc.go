// Package capacity measures the cost of control traffic as the deployment grows, with all
// nodes simulated in one process. It contains benchmarks only; the figures in
// docs/CAPACITY.md derive from them.
package capacity
