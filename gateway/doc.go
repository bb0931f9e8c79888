// Package gateway serves callers on the users' platform: it matches their requests to routes, has them dispatched and
// passes answers on byte by byte.
package gateway
