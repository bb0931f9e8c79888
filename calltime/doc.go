// Package calltime gives calls to a service the time that its way has been seen to need.
package calltime
