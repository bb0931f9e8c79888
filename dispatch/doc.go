// Package dispatch takes a request to targets until one has answered it or it is clear that none will. It knows for each
// attempt whether the request may have run.
package dispatch
