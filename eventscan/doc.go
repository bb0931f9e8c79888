// Package eventscan finds the events of a stream that arrives in parts.
package eventscan
