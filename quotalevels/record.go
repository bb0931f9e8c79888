package quotalevels

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumbank/epoch"
)

const (
	// format is that of the row. A release that changes the meaning of a field must use another table.
	format = 1
	// viewLag is the time for which gateways may differ about the keepers, 3 s, and a margin for calls in progress.
	viewLag = 4 * time.Second
	// maxSeatAge is the time after which the claim of a keeper that has not confirmed it is removed. It is many times the interval at which
	// keepers confirm theirs.
	maxSeatAge = time.Hour
)

// ErrInvalid is returned for a row that proves nothing and is to be replaced.
var ErrInvalid = errors.New("row of quota levels is not valid")

// Record is the content of a customer's row. It is not changed once it is in use.
type Record struct {
	Format int              `json:"format"`
	Epoch  epoch.Epoch      `json:"epoch"`  // of the store that it was written in
	Claims map[string]Claim `json:"claims"` // by the keeper's address

	earlier bool // it was read from a row of an earlier epoch
}

// Claim is that of a keeper to one part of the quota. Times are on the store's clock.
type Claim struct {
	Percent int `json:"level"` // bound of the keeper's use, in percent of its part
	Parts   int `json:"parts"` // into which the quota was divided
	// JoinedMs is when the keeper took the place of another one.
	JoinedMs int64 `json:"joined-ms"`
	// StartedMs is when it last took the part over, also from its own process before a restart, and SharedMs when it last did so at once,
	// with what the level left.
	StartedMs int64 `json:"started-ms"`
	SharedMs  int64 `json:"shared-ms,omitempty"`
	// ConfirmedMs is when a gateway was last known to use the keeper; 0 if not in this epoch.
	ConfirmedMs int64 `json:"confirmed-ms"`
	// Beside has the keepers whose place it has not taken as it joined: gateways had them beside this one, and their claims counted then.
	Beside []string `json:"beside,omitempty"`
	// Yields tells that the keeper's release raises no level while a keeper that has taken its place grants what the level left.
	Yields bool `json:"yields,omitempty"`
}

// New returns a record without claims.
func New(readIn epoch.Epoch) Record {
	return Record{Format: format, Epoch: readIn, Claims: map[string]Claim{}}
}

// Decode returns the record in a row that was read in an epoch at a time of the store's clock. What a record of an earlier epoch says of keepers
// is not confirmed, as later writes are lost. The error wraps ErrInvalid.
func Decode(value []byte, readIn epoch.Epoch, nowMs int64) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return New(readIn), fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if r.Format != format {
		return New(readIn), fmt.Errorf("%w: format %d", ErrInvalid, r.Format)
	}
	if r.Claims == nil {
		r.Claims = map[string]Claim{}
	}
	for address, s := range r.Claims {
		if r.Epoch != readIn {
			s.JoinedMs, s.StartedMs, s.SharedMs, s.ConfirmedMs, s.Beside = nowMs, nowMs, nowMs, 0, nil
			r.Claims[address] = s
		}
		if max(s.JoinedMs, s.StartedMs, s.SharedMs, s.ConfirmedMs) > nowMs || s.Percent <= 0 {
			return New(readIn), fmt.Errorf("%w: claim of %s at %d: %+v", ErrInvalid, address, nowMs, s)
		}
	}
	r.earlier = r.Epoch != readIn
	r.Epoch = readIn
	return r, nil
}

// Encode returns the value of the row.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Update is what a keeper wants to store.
type Update struct {
	Address string
	Start   bool  // it takes its part over
	Joins   bool  // it takes over some of the part of another keeper
	Level   Level // that it wants in force; a keeper that starts keeps the stored one
	Parts   int
	UsedAgo time.Duration // since a gateway last asked it for a part
	Settle  time.Duration // after a start, until nothing that was granted before counts any more
	Beside  []string      // the other keepers of all gateways that have asked it since it started; empty if they do not tell
}

// Outcome is what holds once a record has been written.
type Outcome struct {
	Level Level // in force
	// Shares tells that all that is granted of the part by others, among them the process before this one, is within Level.
	Shares bool
	// Alone tells that no other keeper holds the part, also not for gateways that have yet to see a change, or only within the lowest level.
	Alone bool
	// Counts tells that the claim now proves that no other keeper has taken the place of this one.
	Counts bool
}

// ErrUnsettled is returned for a keeper that joins while another one has just started with what its level left, as it may hold the part between the
// two and stays at the rule for keepers without a row; and for one that raises its level while another one has just started with what that leaves.
var ErrUnsettled = errors.New("another keeper has just started")

// FromEarlierEpoch reports whether the record was read from a row of an earlier epoch. It is then to be written also if it can't be updated, or the
// time from which it is settled would move on with each read.
func (r Record) FromEarlierEpoch() bool { return r.earlier }

// Apply returns the record with an update at a time of the store's clock. The error wraps ErrUnsettled; the record is then as it was.
func (r Record) Apply(in Update, nowMs int64) (Record, Outcome, error) {
	next := Record{Format: format, Epoch: r.Epoch, Claims: maps.Clone(r.Claims)}
	claim, known := r.Claims[in.Address]
	settledMs := nowMs - in.Settle.Milliseconds()
	joins := r.joins(in)
	var beside []string
	if in.Start && joins {
		beside = slices.DeleteFunc(slices.Clone(in.Beside), func(other string) bool { return !r.holds(other) })
	}
	raises := !in.Start && shares[in.Level] > claim.Percent
	if (joins && r.sharedSince(in.Address, beside, settledMs)) || (raises && r.replacedSince(in.Address, nowMs-viewLag.Milliseconds())) {
		return r, Outcome{}, ErrUnsettled
	}
	out := Outcome{Level: in.Level}
	if in.Start {
		out = r.start(in, joins, beside, settledMs)
		claim.StartedMs = nowMs
	}
	if out.Shares {
		claim.SharedMs = nowMs
	}
	if !known || joins {
		claim.JoinedMs, claim.StartedMs, claim.Beside = nowMs, nowMs, beside
	}
	claim.Percent, claim.Parts, claim.Yields = shares[out.Level], in.Parts, true
	claim.ConfirmedMs = max(claim.ConfirmedMs, nowMs-in.UsedAgo.Milliseconds(), 1)
	next.Claims[in.Address] = claim
	out.Counts = next.holds(in.Address)
	maps.DeleteFunc(next.Claims, func(_ string, s Claim) bool {
		return nowMs-max(s.ConfirmedMs, s.JoinedMs) > maxSeatAge.Milliseconds()
	})
	return next, out, nil
}

// joins reports whether a keeper takes the place of another one, or may do so.
func (r Record) joins(in Update) bool {
	claim, known := r.Claims[in.Address]
	return in.Joins || (in.Start && !r.holds(in.Address)) || (known && in.Parts < claim.Parts)
}

// start returns the outcome for a keeper that starts, beside others if it joins.
func (r Record) start(in Update, joins bool, beside []string, settledMs int64) Outcome {
	claim := r.Claims[in.Address]
	out := Outcome{Level: levelOf(claim.Percent)}
	switch {
	case !joins:
		out.Alone = claim.Parts == in.Parts
		out.Shares = out.Alone && claim.StartedMs <= settledMs
	case len(beside) == in.Parts-1:
		if level, known := r.before(beside, in.Parts, settledMs); known {
			out.Level, out.Shares = level, true
		}
	}
	return out
}

// Confirms reports whether the record has all that an update of a keeper that goes on would store: no keeper has joined since the claim was last
// confirmed, its level is the same, and it is far from being removed.
func (r Record) Confirms(in Update, nowMs int64) bool {
	claim := r.Claims[in.Address]
	return !in.Start && !in.Joins && r.holds(in.Address) && claim.Percent == shares[in.Level] && claim.Parts == in.Parts && nowMs-claim.ConfirmedMs < (maxSeatAge/2).Milliseconds()
}

// holds reports whether no keeper can have taken the place of this one since it was last used, other than keepers that have not stored a claim
// and so use the lowest level. A keeper may have lost its place again before its own claim was stored: it counts once the keeper was used after all
// gateways have seen changes of before. A keeper that joins takes the place of one alone, which is none of those beside it.
func (r Record) holds(address string) bool {
	claim := r.Claims[address]
	for other, s := range r.Claims {
		if other != address && claim.ConfirmedMs <= s.JoinedMs+viewLag.Milliseconds() && !slices.Contains(s.Beside, address) {
			return false
		}
	}
	return claim.ConfirmedMs > claim.JoinedMs+viewLag.Milliseconds()
}

// before returns the level within which the part of a keeper that joins is used by the one whose place it takes, until all gateways use the new one.
// It is known if that one has a claim that counts, has not started since the given time and yields to the new one.
func (r Record) before(beside []string, parts int, settledMs int64) (level Level, known bool) {
	for other, s := range r.Claims {
		if slices.Contains(beside, other) || !r.holds(other) {
			continue
		}
		if s.Parts != parts || !s.Yields || max(s.JoinedMs, s.StartedMs, s.SharedMs) > settledMs {
			return 0, false
		}
		level, known = max(level, levelOf(s.Percent)), true
	}
	return level, known
}

// sharedSince reports whether another keeper, other than those beside, has started with what its level left since a time.
func (r Record) sharedSince(address string, beside []string, sinceMs int64) bool {
	for other, s := range r.Claims {
		if other != address && !slices.Contains(beside, other) && s.SharedMs > 0 && s.SharedMs > sinceMs {
			return true
		}
	}
	return false
}

// replacedSince reports whether another keeper has taken the place of this one since a time, with what its level left. Once all gateways have seen the
// change, a raise no longer adds to what the other one may grant: who is still asked then is a keeper, or has to join again.
func (r Record) replacedSince(address string, sinceMs int64) bool {
	claim := r.Claims[address]
	for other, s := range r.Claims {
		if other != address && s.SharedMs > sinceMs && s.SharedMs == s.JoinedMs && s.JoinedMs >= claim.JoinedMs && !slices.Contains(s.Beside, address) {
			return true
		}
	}
	return false
}
