// Package targetlist reads the registered targets from the platform's store, also over a way that takes longer than a read is usually given.
package targetlist
