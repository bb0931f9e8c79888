// Package fault holds the faults that tests switch on in a stand-in by a control call.
package fault
