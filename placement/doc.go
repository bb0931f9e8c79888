// Package placement assigns models to targets from inputs that every process shares, without messages.
package placement
