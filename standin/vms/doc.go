// Package vms is a stand-in for the platform's lagging list of VMs.
package vms
