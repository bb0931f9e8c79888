// Package snapshot parses the operators' two lists, plans and allowances, at one common version.
package snapshot
