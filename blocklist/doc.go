// Package blocklist keeps the blocked contents of a quarantine in the platform's store, for the time after all processes have
// ended.
package blocklist
