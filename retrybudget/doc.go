// Package retrybudget bounds how many requests a gateway sends to a service more than once.
package retrybudget
