package quotalevels_test

import (
	"errors"
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

// seat returns a seat that was taken long ago and confirmed lately, at 0.7 of the part.
func seat(change func(*quotalevels.Seat)) quotalevels.Seat {
	s := quotalevels.Seat{Percent: 70, Parts: 3, JoinedMs: testTime - 600_000, StartedMs: testTime - 600_000, ConfirmedMs: testTime - 60_000}
	change(&s)
	return s
}

func unchanged(*quotalevels.Seat) {}

// TestStart guards against a keeper that grants at once although another one may have held its part, or although what was granted before does not
// lie within its stored level, and against one that waits although neither is the case.
func TestStart(t *testing.T) {
	for name, c := range map[string]struct {
		seats   map[string]quotalevels.Seat
		written epoch.Epoch
		shares  bool
		share   float64
		joins   bool
		err     error
	}{
		"own seat": {seats: map[string]quotalevels.Seat{self: seat(unchanged), other: seat(unchanged)}, shares: true, share: 0.7},
		"no row":   {joins: true, share: 0.55},
		"seat of another keeper": {
			seats: map[string]quotalevels.Seat{other: seat(unchanged)}, joins: true, share: 0.55,
		},
		"another keeper has joined since": {
			seats: map[string]quotalevels.Seat{self: seat(unchanged), other: seat(func(s *quotalevels.Seat) { s.JoinedMs = testTime - 50_000 })},
			joins: true, share: 0.7,
		},
		"used while gateways took up another keeper": {
			seats: map[string]quotalevels.Seat{self: seat(unchanged), other: seat(func(s *quotalevels.Seat) { s.JoinedMs = testTime - 62_000 })},
			joins: true, share: 0.7,
		},
		"another keeper has started at once, as this one does": {
			seats:  map[string]quotalevels.Seat{self: seat(unchanged), other: seat(func(s *quotalevels.Seat) { s.StartedMs, s.SharedMs = testTime-100, testTime-100 })},
			shares: true, share: 0.7,
		},
		"joins while another keeper has started at once": {
			seats: map[string]quotalevels.Seat{other: seat(func(s *quotalevels.Seat) { s.StartedMs, s.SharedMs = testTime-100, testTime-100 })},
			err:   quotalevels.ErrUnsettled,
		},
		"own start within the last window": {
			seats: map[string]quotalevels.Seat{self: seat(func(s *quotalevels.Seat) { s.StartedMs = testTime - 8_000 })}, share: 0.7,
		},
		"the quota was divided into fewer parts": {
			seats: map[string]quotalevels.Seat{self: seat(func(s *quotalevels.Seat) { s.Parts = 2 })}, share: 0.7,
		},
		"the quota was divided into more parts": { // some of another keeper's is taken over
			seats: map[string]quotalevels.Seat{self: seat(func(s *quotalevels.Seat) { s.Parts = 4 })}, joins: true, share: 0.7,
		},
		"written before the store came back from a copy": {
			seats: map[string]quotalevels.Seat{self: seat(unchanged)}, written: 1, joins: true, share: 0.7,
		},
		"written before the store came back from a copy, by two keepers": {
			seats: map[string]quotalevels.Seat{self: seat(unchanged), other: seat(unchanged)}, written: 1, err: quotalevels.ErrUnsettled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			record := quotalevels.New(2)
			if c.written != 0 {
				record = quotalevels.New(c.written)
			}
			for address, s := range c.seats {
				record.Seats[address] = s
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
			got := next.Seats[self]
			if joins := got.JoinedMs == testTime; joins != c.joins {
				t.Errorf("joined %t, want %t", joins, c.joins)
			}
			mayHaveShared := c.shares || c.written != 0 // what was written before the restore of the store is lost
			if shared := got.SharedMs == testTime; shared != mayHaveShared || got.StartedMs != testTime || got.ConfirmedMs != testTime || got.Parts != 3 {
				t.Errorf("seat %+v written at %d", got, testTime)
			}
		})
	}
}

// TestRowOfAnEarlierEpochSettles guards against keepers that find a row of an earlier epoch after each wait and never start.
func TestRowOfAnEarlierEpochSettles(t *testing.T) {
	record := quotalevels.New(1)
	record.Seats[self], record.Seats[other] = seat(unchanged), seat(unchanged)
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

// TestConfirm guards against a confirmation that counts from its write instead of from the last use, against seats of keepers that are gone and
// constrain others for good, and against seats of keepers in use that are removed.
func TestConfirm(t *testing.T) {
	record := quotalevels.New(1)
	record.Seats[self] = seat(unchanged)
	record.Seats[other] = seat(func(s *quotalevels.Seat) { s.ConfirmedMs, s.JoinedMs = testTime-3_599_000, testTime-7_200_000 })
	record.Seats["gone"] = seat(func(s *quotalevels.Seat) { s.ConfirmedMs, s.JoinedMs = testTime-3_601_000, testTime-7_200_000 })
	next, out, err := record.Apply(quotalevels.Update{Address: self, Level: quotalevels.Highest, Parts: 3, UsedAgo: 30 * time.Second, Settle: settle}, testTime)
	if err != nil {
		t.Fatal(err)
	}
	want := seat(func(s *quotalevels.Seat) { s.Percent, s.ConfirmedMs = 100, testTime-30_000 })
	if next.Seats[self] != want || out.Level != quotalevels.Highest || out.Shares {
		t.Errorf("seat %+v, outcome %+v, want %+v and the highest level", next.Seats[self], out, want)
	}
	if _, ok := next.Seats[other]; !ok || len(next.Seats) != 2 {
		t.Errorf("seats %v, want all but the one that was not confirmed for an hour", next.Seats)
	}
	if len(record.Seats) != 3 {
		t.Error("the record that was read has changed")
	}
}

// TestReadConfirms guards against a seat that is not written again although a keeper has joined, its level has moved or it is about to be
// removed, and against writes that change nothing.
func TestReadConfirms(t *testing.T) {
	update := quotalevels.Update{Address: self, Level: 2, Parts: 3, Settle: settle} // of 0.7 of the part
	for name, c := range map[string]struct {
		change func(*quotalevels.Update)
		seats  map[string]quotalevels.Seat
		want   bool
	}{
		"nothing new":           {seats: map[string]quotalevels.Seat{self: seat(unchanged), other: seat(unchanged)}, want: true},
		"no seat":               {seats: map[string]quotalevels.Seat{other: seat(unchanged)}},
		"another has joined":    {seats: map[string]quotalevels.Seat{self: seat(unchanged), other: seat(func(s *quotalevels.Seat) { s.JoinedMs = testTime - 20_000 })}},
		"confirmed long ago":    {seats: map[string]quotalevels.Seat{self: seat(func(s *quotalevels.Seat) { s.ConfirmedMs, s.JoinedMs = testTime-2_000_000, 1 })}},
		"level moves":           {change: func(u *quotalevels.Update) { u.Level = 1 }, seats: map[string]quotalevels.Seat{self: seat(unchanged)}},
		"starts":                {change: func(u *quotalevels.Update) { u.Start = true }, seats: map[string]quotalevels.Seat{self: seat(unchanged)}},
		"takes over a part":     {change: func(u *quotalevels.Update) { u.Joins = true }, seats: map[string]quotalevels.Seat{self: seat(unchanged)}},
		"other number of parts": {change: func(u *quotalevels.Update) { u.Parts = 2 }, seats: map[string]quotalevels.Seat{self: seat(unchanged)}},
	} {
		t.Run(name, func(t *testing.T) {
			record, in := quotalevels.New(1), update
			record.Seats = c.seats
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
		"empty": ``, "null": `null`, "list": `[1]`, "other format": `{"format":2,"epoch":1}`, "number as seats": `{"format":1,"epoch":1,"seats":3}`,
		"time to come": `{"format":1,"epoch":1,"seats":{"10.0.0.1:9000":{"level":55,"parts":3,"confirmed-ms":10000001}}}`,
		"no level":     `{"format":1,"epoch":1,"seats":{"10.0.0.1:9000":{"parts":3,"confirmed-ms":9000000}}}`,
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
