// Package fence provides the fencing tokens of orders to an engine, by which the engine refuses the orders of an earlier
// sidecar.
package fence
