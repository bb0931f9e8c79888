// Package fairshare keeps the service that customers have recently received, by which requests of equal urgency are ordered.
package fairshare
