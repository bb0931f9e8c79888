// Package vms simulates the platform's list of VMs, which shows changes after a lag.
package vms
