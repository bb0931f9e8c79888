// Package gateway implements the process that serves callers on the users' platform. It matches their requests to routes,
// dispatches them to targets and forwards the responses byte for byte.
package gateway
