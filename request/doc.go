// Package request describes a caller's request: what is forwarded to a target and what routing decisions depend on.
package request
