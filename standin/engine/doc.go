// Package engine is a stand-in for a model engine with continuous batching.
package engine
