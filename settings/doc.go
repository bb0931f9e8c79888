// Package settings reads and checks the settings of one process.
package settings
