// Package descriptor divides the file descriptors that a process may have open among their uses.
package descriptor
