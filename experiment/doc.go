// Package experiment sends an open-loop load to the entries of a deployment and reports the latencies, token gaps and
// failures that callers see. Open loop means that requests start at planned times, whether or not earlier ones have
// been answered.
package experiment
