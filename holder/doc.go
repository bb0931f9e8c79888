// Package holder acquires the fencing token that an agent sends with the orders to its target.
package holder
