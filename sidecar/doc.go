// Package sidecar is the process beside a target through which all requests to that target go.
package sidecar
