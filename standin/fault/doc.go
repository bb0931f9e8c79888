// Package fault injects faults into the HTTP server of a stand-in; tests set them by a call of /faults.
package fault
