// Package dialer opens authenticated RPC connections to other processes of the system and pools them.
package dialer
