// Package residency accounts for the accelerator memory of one engine: what models and adapters hold, and what orders
// that may still take effect could use.
package residency
