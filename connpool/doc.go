// Package connpool opens TCP connections to targets and keeps idle ones for reuse.
package connpool
