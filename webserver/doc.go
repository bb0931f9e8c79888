// Package webserver runs an HTTP server whose open connections can be dropped at once.
package webserver
