// Package route holds the routing table that operators publish and matches requests against it.
package route
