// Package refresh shares reads of something among callers that need what holds at the time of their question, or later.
package refresh
