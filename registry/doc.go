// Package registry defines what is known of a target: its entry in the platform's registry and its engine's report.
package registry
