package quotalevels_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/epoch"
	"gypsumbank/quotalevels"
)

const (
	settle   = 12400 * time.Millisecond
	testTime = int64(10_000_000)
	self     = "10.0.0.1:9000"
	other    = "10.0.0.2:9000"
)

// claim returns a claim that was taken long ago and confirmed lately, at 0.7 of the part.
func claim(change func(*quotalevels.Claim)) quotalevels.Claim {
	s := quotalevels.Claim{Percent: 70, Parts: 3, JoinedMs: testTime - 600_000, StartedMs: testTime - 600_000, ConfirmedMs: testTime - 60_000}
	change(&s)
	return s
}

func unchanged(*quotalevels.Claim) {}

// TestStart guards against a keeper that grants at once although another one may have held its part, or although what was granted before does not
// lie within its stored level, and against one that waits although neither is the case.
func TestStart(t *testing.T) {
	for name, c := range map[string]struct {
		claims  map[string]quotalevels.Claim
		written epoch.Epoch
		shares  bool
		share   float64
		joins   bool
		err     error
	}{
		"own claim": {claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(unchanged)}, shares: true, share: 0.7},
		"no row":    {joins: true, share: 0.55},
		"claim of another keeper": {
			claims: map[string]quotalevels.Claim{other: claim(unchanged)}, joins: true, share: 0.55,
		},
		"another keeper has joined since": {
			claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(func(s *quotalevels.Claim) { s.JoinedMs = testTime - 50_000 })},
			joins:  true, share: 0.7,
		},
		"used while gateways took up another keeper": {
			claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(func(s *quotalevels.Claim) { s.JoinedMs = testTime - 62_000 })},
			joins:  true, share: 0.7,
		},
		"another keeper has started at once, as this one does": {
			claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(func(s *quotalevels.Claim) { s.StartedMs, s.SharedMs = testTime-100, testTime-100 })},
			shares: true, share: 0.7,
		},
		"joins while another keeper has started at once": {
			claims: map[string]quotalevels.Claim{other: claim(func(s *quotalevels.Claim) { s.StartedMs, s.SharedMs = testTime-100, testTime-100 })},
			err:    quotalevels.ErrUnsettled,
		},
		"own start within the last window": {
			claims: map[string]quotalevels.Claim{self: claim(func(s *quotalevels.Claim) { s.StartedMs = testTime - 8_000 })}, share: 0.7,
		},
		"the quota was divided into fewer parts": {
			claims: map[string]quotalevels.Claim{self: claim(func(s *quotalevels.Claim) { s.Parts = 2 })}, share: 0.7,
		},
		"the quota was divided into more parts": { // some of another keeper's is taken over
			claims: map[string]quotalevels.Claim{self: claim(func(s *quotalevels.Claim) { s.Parts = 4 })}, joins: true, share: 0.7,
		},
		"written before the store came back from a copy": {
			claims: map[string]quotalevels.Claim{self: claim(unchanged)}, written: 1, joins: true, share: 0.7,
		},
		"written before the store came back from a copy, by two keepers": {
			claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(unchanged)}, written: 1, err: quotalevels.ErrUnsettled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			record := quotalevels.New(2)
			if c.written != 0 {
				record = quotalevels.New(c.written)
			}
			for address, s := range c.claims {
				record.Claims[address] = s
			}
			value, err := record.Encode()
			if err != nil {
				t.Fatal(err)
			}
			read, err := quotalevels.Decode(value, 2, testTime)
			if err != nil {
				t.Fatal(err)
			}
			next, out, err := read.Apply(quotalevels.Update{Address: self, Start: true, Parts: 3, Settle: settle}, testTime)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if out.Shares != c.shares || out.Level.Share() != c.share {
				t.Errorf("outcome %+v, want at once %t and a share of %.2f", out, c.shares, c.share)
			}
			got := next.Claims[self]
			if joins := got.JoinedMs == testTime; joins != c.joins {
				t.Errorf("joined %t, want %t", joins, c.joins)
			}
			mayHaveShared := c.shares || c.written != 0 // what was written before the restore of the store is lost
			if shared := got.SharedMs == testTime; shared != mayHaveShared || got.StartedMs != testTime || got.ConfirmedMs != testTime || got.Parts != 3 {
				t.Errorf("claim %+v written at %d", got, testTime)
			}
		})
	}
}

// TestRowOfAnEarlierEpochSettles guards against keepers that find a row of an earlier epoch after each wait and never start.
func TestRowOfAnEarlierEpochSettles(t *testing.T) {
	record := quotalevels.New(1)
	record.Claims[self], record.Claims[other] = claim(unchanged), claim(unchanged)
	start := quotalevels.Update{Address: self, Start: true, Parts: 3, Settle: settle}
	value, _ := record.Encode()
	for _, now := range []int64{testTime, testTime + settle.Milliseconds()} {
		read, err := quotalevels.Decode(value, 2, now)
		if err != nil {
			t.Fatal(err)
		}
		next, _, err := read.Apply(start, now)
		if settled := now > testTime; settled != (err == nil) || read.FromEarlierEpoch() == settled {
			t.Errorf("%d ms after the first read: error %v, from an earlier epoch %t", now-testTime, err, read.FromEarlierEpoch())
		}
		value, _ = next.Encode()
	}
}

// TestConfirm guards against a confirmation that counts from its write instead of from the last use, against claims of keepers that are gone and
// constrain others for good, and against claims of keepers in use that are removed.
func TestConfirm(t *testing.T) {
	record := quotalevels.New(1)
	record.Claims[self] = claim(unchanged)
	record.Claims[other] = claim(func(s *quotalevels.Claim) { s.ConfirmedMs, s.JoinedMs = testTime-3_599_000, testTime-7_200_000 })
	record.Claims["gone"] = claim(func(s *quotalevels.Claim) { s.ConfirmedMs, s.JoinedMs = testTime-3_601_000, testTime-7_200_000 })
	next, out, err := record.Apply(quotalevels.Update{Address: self, Level: quotalevels.Highest, Parts: 3, UsedAgo: 30 * time.Second, Settle: settle}, testTime)
	if err != nil {
		t.Fatal(err)
	}
	want := claim(func(s *quotalevels.Claim) { s.Percent, s.ConfirmedMs, s.Yields = 100, testTime-30_000, true })
	if !reflect.DeepEqual(next.Claims[self], want) || out.Level != quotalevels.Highest || out.Shares {
		t.Errorf("claim %+v, outcome %+v, want %+v and the highest level", next.Claims[self], out, want)
	}
	if _, ok := next.Claims[other]; !ok || len(next.Claims) != 2 {
		t.Errorf("claims %v, want all but the one that was not confirmed for an hour", next.Claims)
	}
	if len(record.Claims) != 3 {
		t.Error("the record that was read has changed")
	}
}

// TestReadConfirms guards against a claim that is not written again although a keeper has joined, its level has moved or it is about to be
// removed, and against writes that change nothing.
func TestReadConfirms(t *testing.T) {
	update := quotalevels.Update{Address: self, Level: 2, Parts: 3, Settle: settle} // of 0.7 of the part
	for name, c := range map[string]struct {
		change func(*quotalevels.Update)
		claims map[string]quotalevels.Claim
		want   bool
	}{
		"nothing new":           {claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(unchanged)}, want: true},
		"no claim":              {claims: map[string]quotalevels.Claim{other: claim(unchanged)}},
		"another has joined":    {claims: map[string]quotalevels.Claim{self: claim(unchanged), other: claim(func(s *quotalevels.Claim) { s.JoinedMs = testTime - 20_000 })}},
		"confirmed long ago":    {claims: map[string]quotalevels.Claim{self: claim(func(s *quotalevels.Claim) { s.ConfirmedMs, s.JoinedMs = testTime-2_000_000, 1 })}},
		"level moves":           {change: func(u *quotalevels.Update) { u.Level = 1 }, claims: map[string]quotalevels.Claim{self: claim(unchanged)}},
		"starts":                {change: func(u *quotalevels.Update) { u.Start = true }, claims: map[string]quotalevels.Claim{self: claim(unchanged)}},
		"takes over a part":     {change: func(u *quotalevels.Update) { u.Joins = true }, claims: map[string]quotalevels.Claim{self: claim(unchanged)}},
		"other number of parts": {change: func(u *quotalevels.Update) { u.Parts = 2 }, claims: map[string]quotalevels.Claim{self: claim(unchanged)}},
	} {
		t.Run(name, func(t *testing.T) {
			record, in := quotalevels.New(1), update
			record.Claims = c.claims
			if c.change != nil {
				c.change(&in)
			}
			if got := record.Confirms(in, testTime); got != c.want {
				t.Errorf("a read is enough: %t, want %t", got, c.want)
			}
		})
	}
}

// TestOddRowsProveNothing guards against rows that another writer has left and that end an agent, or let a keeper grant at once.
func TestOddRowsProveNothing(t *testing.T) {
	for name, value := range map[string]string{
		"empty": ``, "null": `null`, "list": `[1]`, "other format": `{"format":2,"epoch":1}`, "number as claims": `{"format":1,"epoch":1,"claims":3}`,
		"time to come": `{"format":1,"epoch":1,"claims":{"10.0.0.1:9000":{"level":55,"parts":3,"confirmed-ms":10000001}}}`,
		"no level":     `{"format":1,"epoch":1,"claims":{"10.0.0.1:9000":{"parts":3,"confirmed-ms":9000000}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			record, err := quotalevels.Decode([]byte(value), 1, testTime)
			if !errors.Is(err, quotalevels.ErrInvalid) {
				t.Errorf("error %v, want %v", err, quotalevels.ErrInvalid)
			}
			_, out, err := record.Apply(quotalevels.Update{Address: self, Start: true, Parts: 3, Settle: settle}, testTime)
			if err != nil || out.Shares {
				t.Errorf("outcome %+v, error %v, want a start with nothing known", out, err)
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
		record, _ := quotalevels.Decode(value, 1, testTime)
		if _, out, err := record.Apply(quotalevels.Update{Address: self, Start: true, Parts: 3, Settle: settle}, testTime); err == nil && out.Shares {
			t.Fatalf("starts at once by %q", value)
		}
	})
}

const (
	third  = "10.0.0.3:9000"
	joined = "10.0.0.4:9000"
)

// TestKeeperThatJoins guards against claims of keepers that stop counting although another keeper has joined beside them, and against claims that count
// although the keeper that joined may have taken their place.
func TestKeeperThatJoins(t *testing.T) {
	recently := func(s *quotalevels.Claim) { s.JoinedMs, s.StartedMs = testTime-5_000, testTime-5_000 }
	for name, c := range map[string]struct {
		join   func(*quotalevels.Claim) // the claim of the keeper that joined
		shares bool
	}{
		"beside this one": {join: func(s *quotalevels.Claim) { recently(s); s.Beside = []string{self, other} }, shares: true},
		"beside others":   {join: func(s *quotalevels.Claim) { recently(s); s.Beside = []string{other, third} }},
		"not known":       {join: recently}, // as a row of an older release has it
	} {
		t.Run(name, func(t *testing.T) {
			record := quotalevels.New(1)
			record.Claims[self], record.Claims[other], record.Claims[third], record.Claims[joined] = claim(unchanged), claim(unchanged), claim(unchanged), claim(c.join)
			_, out, err := record.Apply(quotalevels.Update{Address: self, Start: true, Parts: 3, Settle: settle}, testTime)
			if err != nil || out.Shares != c.shares || out.Alone != c.shares {
				t.Errorf("outcome %+v, error %v, want at once %t", out, err, c.shares)
			}
		})
	}
}

// TestKeeperThatTakesAPlace guards against a keeper that joins and grants what the level of another one leaves although that one is not known, has just
// started or may raise its level, and against one that waits, or may not raise its level, although none of this is so.
func TestKeeperThatTakesAPlace(t *testing.T) {
	yields := func(s *quotalevels.Claim) { s.Yields = true }
	for name, c := range map[string]struct {
		before func(*quotalevels.Claim) // the claim of the keeper whose place is taken; nil for none
		beside []string
		shares bool
		share  float64
	}{
		"one that yields":       {before: yields, beside: []string{self, other}, shares: true, share: 0.7},
		"of an older release":   {before: unchanged, beside: []string{self, other}, share: 0.55},
		"has just started":      {before: func(s *quotalevels.Claim) { s.Yields, s.StartedMs = true, testTime-8_000 }, beside: []string{self, other}, share: 0.55},
		"of a larger part":      {before: func(s *quotalevels.Claim) { s.Yields, s.Parts = true, 2 }, beside: []string{self, other}, share: 0.55},
		"not known":             {beside: []string{self, other}, share: 0.55},
		"gateways tell of none": {before: yields, share: 0.55},
		"gateways tell of one":  {before: yields, beside: []string{self}, share: 0.55},
	} {
		t.Run(name, func(t *testing.T) {
			record := quotalevels.New(1)
			record.Claims[self], record.Claims[other] = claim(yields), claim(yields)
			if c.before != nil {
				record.Claims[third] = claim(c.before)
			}
			next, out, err := record.Apply(quotalevels.Update{Address: joined, Start: true, Parts: 3, Settle: settle, Beside: c.beside}, testTime)
			if err != nil || out.Shares != c.shares || out.Level.Share() != c.share {
				t.Fatalf("outcome %+v, error %v, want at once %t and a share of %.2f", out, err, c.shares, c.share)
			}
			if !c.shares {
				return
			}
			raise := quotalevels.Update{Address: third, Level: quotalevels.Highest, Parts: 3, Settle: settle}
			if _, _, err := next.Apply(raise, testTime+1000); !errors.Is(err, quotalevels.ErrUnsettled) {
				t.Errorf("error %v as the keeper before raises its level, want %v", err, quotalevels.ErrUnsettled)
			}
			if _, _, err := next.Apply(raise, testTime+4000); err != nil {
				t.Errorf("error %v as the keeper before raises its level once all gateways use the one that joined", err)
			}
			raise.Address = self
			if _, _, err := next.Apply(raise, testTime+1000); err != nil {
				t.Errorf("error %v as a keeper beside raises its level", err)
			}
		})
	}
}

// TestClaimCountsOnceUsedAfterItsJoin guards against the claim of a keeper that was stored after it had lost its place again.
func TestClaimCountsOnceUsedAfterItsJoin(t *testing.T) {
	record := quotalevels.New(1)
	record.Claims[other] = claim(func(s *quotalevels.Claim) { s.ConfirmedMs = testTime - 10_000 })
	record.Claims[self] = claim(func(s *quotalevels.Claim) {
		s.JoinedMs, s.StartedMs, s.ConfirmedMs = testTime, testTime, testTime-9_000
	})
	start := quotalevels.Update{Address: self, Start: true, Parts: 3, Settle: settle}
	if _, out, err := record.Apply(start, testTime+20_000); err != nil || out.Shares || out.Alone {
		t.Errorf("outcome %+v, error %v of a keeper that was not used since it joined", out, err)
	}
	confirm := quotalevels.Update{Address: self, Parts: 3, Settle: settle}
	for _, after := range []int64{3_000, 4_500} {
		next, out, err := record.Apply(confirm, testTime+after)
		if counts := after > 4_000; err != nil || out.Counts != counts || next.Confirms(confirm, testTime+after) != counts {
			t.Errorf("outcome %+v, error %v as it is used %d ms after it joined, want that it counts: %t", out, err, after, counts)
		}
	}
}
