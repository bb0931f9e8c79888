// Package timeline records the typed events of a process in a ring of bounded size.
package timeline
