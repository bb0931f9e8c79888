// Package router chooses the target that serves a request, from the load, residency and token rate of all model
// targets.
package router
