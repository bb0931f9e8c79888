// Package site stands in for the users' platform in tests: its store and its targets, with faults.
package site
