// Package meter counts the resources that each member uses at each node, and spreads the counters among nodes.
package meter
