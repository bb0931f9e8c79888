// Package grace plans the stop of a process within the time that it is given.
package grace
