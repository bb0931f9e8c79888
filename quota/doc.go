// Package quota keeps customers' quotas over all gateways. Keepers, in agents, own equal parts of each quota and grant some of them to
// gateways for a short time; each gateway has an account for each customer, which asks keepers ahead of need. Keepers
// stay within levels that their owner stores, so that one that restarts knows what may have been granted before. The package has no network,
// clock or goroutine.
package quota
