// Package retrybudget limits how many retries a gateway sends to each service.
package retrybudget
