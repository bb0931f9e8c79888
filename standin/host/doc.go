// Package host serves a stand-in over HTTP with the faults that tests switch on.
package host
