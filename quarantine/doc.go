// Package quarantine finds the contents of requests under which targets crash, and holds the list of those to refuse.
package quarantine
