// Package plan holds the list of customers' plans.
package plan
