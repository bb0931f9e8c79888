// Package dialer opens authenticated connections to other processes of the system.
package dialer
