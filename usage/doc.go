// Package usage compares the members' use with their allowances.
package usage
