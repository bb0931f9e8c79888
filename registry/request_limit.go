package registry

import "strconv"

// RequestLimit is the rate of requests that a target says it takes from all gateways together.
type RequestLimit struct {
	Named     bool // the target has named a limit; PerSecond is not set otherwise
	PerSecond float64
}

// String returns the limit in requests a second, or "none".
func (l RequestLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', 4, 64)
}
