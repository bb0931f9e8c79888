// Package entry is the process that callers send their requests to.
package entry
