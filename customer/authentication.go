package customer

import "gypsumbank/route"

// Result says whether a request is served, and why not.
type Result int

// The results of authentication. Only Missing and Unknown are final: the others may change once the gateway has read the routes.
const (
	Accepted  Result = iota
	Missing          // the route needs a key and the request has none
	Unknown          // nobody holds the key
	Uncertain        // nobody holds the key, but newer routes than those in force may exist and list it
	Outdated         // the routes in force are too old to rely on their keys
)

// View tells how far the routes in force can be relied on.
type View struct {
	InDoubt bool // newer routes than those in force may exist
	TooOld  bool // the routes could not be read for so long that keys must be refused
}

// Authenticate returns the customer that holds the key of a request on a route, nil if there is none, and whether the request is
// served. On a public route a request without a known key is served without a customer.
func Authenticate(table *route.Table, r *route.Route, key string, view View) (*route.Customer, Result) {
	if view.TooOld {
		if r.Public {
			return nil, Accepted
		}
		return nil, Outdated
	}
	if key != "" {
		if c, ok := table.Authenticate(key); ok {
			return c, Accepted
		}
	}
	switch {
	case r.Public:
		return nil, Accepted
	case view.InDoubt:
		return nil, Uncertain
	case key == "":
		return nil, Missing
	}
	return nil, Unknown
}
