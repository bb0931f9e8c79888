// Package inflow bounds the connections whose requests may be on their way to a process at the same time by what its link carries.
package inflow
