// Package request describes a caller's request to the decisions about it.
package request
