// Package router chooses the target of a request.
package router
