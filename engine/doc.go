// Package engine is the client of a model engine.
package engine
