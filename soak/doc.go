// Package soak checks the promises to callers and operators from what callers, targets and operators see during faults.
package soak
