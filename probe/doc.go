// Package probe serves health checks and metrics of a process.
package probe
