// Package inventory keeps the models that a target holds in the platform's store, for the time after a restart.
package inventory
