package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/fairshare"
	"gypsumbank/fleet"
	"gypsumbank/request"
	"gypsumbank/waitlist"
)

// customerOf returns by what the order of waits knows the customer of a request.
func customerOf(r *request.Request) fairshare.Customer {
	if r.Customer == "" {
		return 0
	}
	return fairshare.Customer(xxhash.Sum64String(r.Customer))
}

// grantedService is what the waitlist has recorded for the attempt that begins.
type grantedService struct {
	*waitlist.Grant
	runs int // possibleRuns before the attempt
}

// grantService records that the request is sent to the chosen target.
func (d *Dispatch) grantService(choice fleet.Choice, now time.Time) {
	d.settleService()
	d.granted = grantedService{d.waits.Grant(d.waitRank(choice), now), d.possibleRuns}
}

// settleService returns the service that was recorded for the last attempt unless a target may have run the request.
func (d *Dispatch) settleService() {
	if d.possibleRuns == d.granted.runs {
		d.granted.Return(d.now())
	}
	d.granted = grantedService{}
}
