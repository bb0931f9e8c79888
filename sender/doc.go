// Package sender sends HTTP requests to targets byte by byte as they were received and reads the answers.
package sender
