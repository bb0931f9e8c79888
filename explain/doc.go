// Package explain describes where a gateway would route a request and why: the question, the answer as JSON and as text, and the call by
// which a command asks a gateway.
package explain
