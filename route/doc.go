// Package route defines the routing table that operators publish and finds the route of a request in it.
package route
