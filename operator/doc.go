// Package operator does what the operators' commands do: it reads and edits the lists and asks nodes about themselves.
package operator
