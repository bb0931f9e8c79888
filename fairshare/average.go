package fairshare

import "time"

// Average is the mean service of the customers of a record.
type Average struct {
	Mean      time.Duration
	Customers int // that have received service
}

// Limit returns the service above which a customer has received more than its share.
func (a Average) Limit() time.Duration {
	return max(minExcess, time.Duration(excess*float64(a.Mean)))
}

// Position is how the recent service of a customer compares with the mean.
type Position string

// The positions of customers. NoPosition is that of a customer beside which none has received service.
const (
	NoPosition Position = ""
	BelowMean  Position = "below-mean"
	AboveMean  Position = "above-mean"
)

// Position returns the position of a customer with some recent service.
func (a Average) Position(service time.Duration) Position {
	switch {
	case a.Customers == 0 || (a.Customers == 1 && service >= negligible):
		return NoPosition
	case service > a.Mean:
		return AboveMean
	}
	return BelowMean
}
