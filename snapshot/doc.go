// Package snapshot holds the two operators' lists at one version.
package snapshot
