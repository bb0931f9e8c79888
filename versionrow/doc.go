// Package versionrow reads and writes the store's row of served software versions for a process.
package versionrow
