// Package trace reconstructs the path of one request, and the cause of its outcome, from the logs of all processes.
package trace
