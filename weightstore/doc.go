// Package weightstore shares the rate of loads from the weight store among all agents.
package weightstore
