// Package roster holds the list of VMs that a process works with.
package roster
