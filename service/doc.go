// Package service is an HTTP client for a plain service, which is any target that is not a model engine. Its errors tell
// calls that never reached the service from calls with an unknown outcome.
package service
