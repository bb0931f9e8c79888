// Package allowance parses the allowances: the list of plans with their limits, and of the models, adapters, services
// and members that they refer to.
package allowance
