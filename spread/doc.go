// Package spread chooses among candidates whose load is known late, so that the load stays even although many processes choose at once
// with the same knowledge. It has no clock, no randomness of its own and no network.
package spread
