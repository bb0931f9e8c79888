// Package engine is a client for a model engine: it sends orders to load and unload models, and requests for tokens.
package engine
