// Package deployment runs a complete system in one process for tests, demos and experiments: all roles, and stand-ins
// for the platform, the model engines and the ledger service, connected over loopback TCP.
package deployment
