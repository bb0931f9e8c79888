// Package roster keeps the VMs that a process knows of.
package roster
