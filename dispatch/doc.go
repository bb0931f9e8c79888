// Package dispatch sends a request to targets, with retries, until one has responded or none can. It keeps track of whether
// an attempt may have run, since such a request must not be sent again unless its route allows it.
package dispatch
