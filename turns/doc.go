// Package turns decides which of the long prompts that gateways want an engine to prefill is sent next: an engine that
// prefills several at once pauses the streams beside them for longer than their callers accept.
package turns
