// Package thinlink is a stand-in for the link of a machine whose bandwidth all connections share.
package thinlink
