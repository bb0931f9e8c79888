// Package meter counts the use of every member at every node.
package meter
