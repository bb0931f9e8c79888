// Package sender sends HTTP requests to targets with URI and body byte for byte as received, and reads the responses.
package sender
