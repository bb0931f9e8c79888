// Package engine simulates a model engine with continuous batching, a prefix cache and memory for models and adapters.
package engine
