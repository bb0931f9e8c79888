// Package tally sums up what gateways report of the answers of one run of a target, so that each of them learns of failures and slowness
// that the others have seen.
package tally
