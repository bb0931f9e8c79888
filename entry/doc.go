// Package entry implements the entry process, the HTTP server that authenticates callers, applies the limits of their
// plans and routes each request to a target.
package entry
