// Package inventory records in the platform's store which models a target holds, so that they can be loaded again after
// a restart.
package inventory
