// Package slowlink is a stand-in for a link between two machines on which packets wait.
package slowlink
