// Package framing names the ways in which an HTTP message says where its body ends.
package framing
