// Package jsonclient is a client for HTTP services with JSON bodies. It never retries a call.
package jsonclient
