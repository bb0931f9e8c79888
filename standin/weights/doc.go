// Package weights simulates the weight store and its limits; it delivers no data, only the time that a load takes.
package weights
