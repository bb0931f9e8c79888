// Package plan parses the list of customers, which gives each one's member, plan and key, and authenticates callers by it.
package plan
