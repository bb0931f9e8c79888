// Package link forwards TCP connections and makes them slow, silent or cut.
package link
