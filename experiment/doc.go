// Package experiment drives a running deployment with an open loop of requests and reports what callers saw.
package experiment
