// Package service is the client of a plain service.
package service
