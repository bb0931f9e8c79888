// Package servedversions holds what the store's row of served software versions says, what a process must do for it to stay complete,
// and what a read of it proves.
package servedversions
