// Package registry describes a target and what it reports about itself.
package registry
