// Package pacer spaces the requests that one of several gateways sends to a target which has named a limit.
package pacer
