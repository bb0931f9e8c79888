// Package sidecar implements the process that runs beside each target, a model engine or a replica of a plain service,
// and through which all requests to that target pass.
package sidecar
