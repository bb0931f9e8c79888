// Package rpcserver serves drpc to processes that know the shared secret.
package rpcserver
