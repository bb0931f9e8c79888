// Package suspect counts target crashes by the content of the request that was running, so that a request which crashes
// targets is refused instead of retried.
package suspect
