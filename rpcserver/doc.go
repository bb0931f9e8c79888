// Package rpcserver serves drpc services to processes that know the shared secret.
package rpcserver
