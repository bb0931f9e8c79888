// Package trace tells the way of one request from the logs of all processes.
package trace
