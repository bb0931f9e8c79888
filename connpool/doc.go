// Package connpool keeps idle connections to targets for reuse.
package connpool
