// Package residency accounts for the memory of one accelerator.
package residency
