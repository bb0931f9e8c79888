// Package caller is a stand-in for a caller that tells a request without an answer that the server has read from one that it has not.
package caller
