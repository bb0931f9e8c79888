// Package host runs the HTTP server of a stand-in, with the faults of package fault.
package host
