// Package customer decides whose request a gateway serves, and counts the use by customer.
package customer
