// Package handshake checks on each new connection that both ends know the shared secret.
package handshake
