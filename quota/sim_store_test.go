package quota

import (
	"math/rand/v2"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/quotalevels"
)

// simStore is a store with the customer's row.
type simStore struct {
	random       *rand.Rand // its own, so that the load does not depend on the calls
	row          simRow
	copied       simRow // what the store may come back from
	epoch        epoch.Epoch
	downUntil    time.Time
	longestDelay time.Duration // of a call, each way
	lossRate     float64       // of answers
	reads        int
	writes       int
}

// simRow is the row; version 0 stands for none.
type simRow struct {
	version int
	value   []byte
}

// restore brings the store back from its copy.
func (s *simStore) restore() {
	s.row = s.copied
	s.epoch++
}

// storeChanges stores what a keeper wants to be stored.
func (s *simulation) storeChanges(a *simAgent) {
	for _, c := range a.keeper.Changes(s.now) {
		s.storeChange(a, c)
	}
}

// storeChange reads the row and writes it under the condition that it has not changed.
func (s *simulation) storeChange(a *simAgent, c Change) {
	begun := s.now
	answer := func(handle func()) {
		s.after(s.storeDelay(), func() { s.atAgent(a, handle) })
	}
	failed := func() { a.keeper.Failed(c, time.Second, s.now) }
	s.after(s.storeDelay(), func() {
		if s.now.Before(s.store.downUntil) {
			answer(failed)
			return
		}
		s.store.reads++
		read, readIn, nowMs := s.store.row, s.store.epoch, s.now.UnixMilli()
		answer(func() {
			record := quotalevels.New(readIn)
			if read.version > 0 {
				record, _ = quotalevels.Decode(read.value, readIn, nowMs)
			}
			update := c.Update(a.name, s.now)
			if record.Confirms(update, nowMs) {
				a.keeper.Stored(c, quotalevels.Outcome{Level: update.Level, Counts: true}, begun, s.now)
				return
			}
			next, outcome, err := record.Apply(update, nowMs)
			unsettled := func() { a.keeper.Failed(c, c.UnsettledRetry(), s.now) }
			if err != nil && !record.FromEarlierEpoch() {
				unsettled()
				return
			}
			a.keeper.Lower(c)
			value, encodeErr := next.Encode()
			if encodeErr != nil {
				panic(encodeErr)
			}
			s.after(s.storeDelay(), func() {
				switch {
				case s.now.Before(s.store.downUntil):
					answer(failed)
				case s.store.epoch != readIn || s.store.row.version != read.version:
					answer(func() { a.keeper.Failed(c, 20*time.Millisecond, s.now) })
				default:
					s.store.writes++
					s.store.row = simRow{read.version + 1 + int(s.store.random.Int64N(5)), value}
					if s.store.random.Float64() < s.store.lossRate {
						answer(failed)
						return
					}
					if err != nil {
						answer(unsettled)
						return
					}
					answer(func() { a.keeper.Stored(c, outcome, begun, s.now) })
				}
			})
		})
	})
}

// atAgent runs what an answer leads to, once the agent is no longer frozen and unless it has ended.
func (s *simulation) atAgent(a *simAgent, handle func()) {
	switch {
	case s.agents[a.name] != a || a.isDown:
	case s.now.Before(a.frozenUntil):
		s.after(a.frozenUntil.Sub(s.now), func() { s.atAgent(a, handle) })
	default:
		handle()
	}
}

func (s *simulation) storeDelay() time.Duration {
	return time.Millisecond + time.Duration(s.store.random.Int64N(int64(s.store.longestDelay)))
}
