// Package rawserver is a stand-in for a server whose connections a test writes to byte by byte.
package rawserver
