// Package origin holds at which software version streams began, for callers that take them up again.
package origin
