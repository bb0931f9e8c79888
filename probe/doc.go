// Package probe serves the health checks and metrics of a process over HTTP.
package probe
