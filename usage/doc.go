// Package usage compares the members' use of accelerator time with their allowances and prints the comparison.
package usage
