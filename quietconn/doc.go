// Package quietconn keeps a request from being sent on a connection on which bytes wait that belong to no answer.
package quietconn
