// Package fence numbers the orders to an engine so that those of an earlier sidecar are told from later ones.
package fence
