// Package timeline records typed events of one process in a bounded ring.
package timeline
