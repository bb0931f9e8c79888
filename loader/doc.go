// Package loader decides which models and adapters one engine holds and sends it the orders.
package loader
