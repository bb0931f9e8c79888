// Package wire holds the messages and services that the processes of gypsumbank exchange.
package wire
