// Package vmlist is a client for the list of VMs that the platform publishes.
package vmlist
