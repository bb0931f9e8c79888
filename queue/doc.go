// Package queue admits requests to the slots of one target.
package queue
