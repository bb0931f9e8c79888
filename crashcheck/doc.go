// Package crashcheck finds out whether a target whose answer broke off has crashed.
package crashcheck
