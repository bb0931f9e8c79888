// Package weightstore limits the rate of loads from the weight store over all agents of a service.
package weightstore
