// Package quotalevels has the stored levels of customers' quotas: which share of its part of a quota a keeper may use, and which keepers hold
// the parts. It has no network, clock or goroutine.
package quotalevels
