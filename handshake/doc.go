// Package handshake authenticates both ends of a new connection to each other: each proves by an HMAC over fresh nonces that
// it knows the shared secret.
package handshake
