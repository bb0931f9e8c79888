// Package webserver runs an HTTP server whose open connections can all be closed at once.
package webserver
