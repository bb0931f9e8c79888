// Package lifecycle runs the parts of a process until it is told to stop and has drained.
package lifecycle
