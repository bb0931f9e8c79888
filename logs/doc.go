// Package logs builds the logger of a process.
package logs
