// Package epoch tracks the epoch of the platform's store, which rises by one each time that the store has come back from an older
// copy.
package epoch
