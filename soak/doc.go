// Package soak checks the guarantees to callers and operators against the requests, responses, runs, orders and process
// exits that were recorded while faults were injected.
package soak
