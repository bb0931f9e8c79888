// Package deployment runs all roles and the stand-ins of the platform in one process over loopback TCP.
package deployment
