// Package agent runs beside a model engine: it polls the engine's reports, streams the engine's state to gateways, and is
// the only process that sends the engine orders to load and unload models and adapters.
package agent
