// Package delivery decides when the events of a stream are written to their caller, so that events that arrive soon after each other are
// written together.
package delivery
