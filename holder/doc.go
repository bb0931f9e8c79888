// Package holder obtains the number under which an agent may give orders to its target.
package holder
