// Package lifecycle runs the components of a process and stops them after a drain.
package lifecycle
