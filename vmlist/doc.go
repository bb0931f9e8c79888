// Package vmlist is the client of the platform's list of VMs.
package vmlist
