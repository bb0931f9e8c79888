// Package settings reads and validates the settings file of a process.
package settings
