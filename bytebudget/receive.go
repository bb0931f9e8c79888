package bytebudget

import (
	"errors"
	"io"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// DefaultPace is the pace in bytes a second below which a body is interrupted where memory is short. No proper caller sends more slowly for slowAllowance.
	DefaultPace = 64 << 10
	// slowAllowance is how long a body may pause, for packets that are lost, before it counts as slow.
	slowAllowance = 2 * time.Second
	// firstBodyBytes is the first buffer for a body of unknown length.
	firstBodyBytes = 16 << 10
	// bodyGrowth is the factor by which that buffer grows. It is large, as bodies that don't fit are to be refused early.
	bodyGrowth = 16
	// readPartBytes is the most that is read of a body at once, so that its pace is known while it comes in.
	readPartBytes = 64 << 10
)

// ErrTooLong reports a body that is longer than allowed.
var ErrTooLong = errors.New("body is longer than allowed")

// receiving is the state of a hold whose body is coming in.
type receiving struct {
	interrupt   func()    // has the read of the body fail
	paidUntil   time.Time // up to when what has come in is enough at the least pace
	interrupted bool
}

// Receive records that the body of the request begins to come in. If it comes in slowly while memory is short, interrupt is called, once, which must not block
// and not use the budget.
func (h *Hold) Receive(interrupt func(), now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.receiving = &receiving{interrupt: interrupt, paidUntil: now}
	b.receivers[h] = struct{}{}
}

// EndReceive records that the body comes in no more, and reports whether it was interrupted.
func (h *Hold) EndReceive() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receivers, h)
	return h.receiving != nil && h.receiving.interrupted
}

// arrived records that bytes of the body have come in.
func (h *Hold) arrived(bytes int, now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := h.receiving; r != nil {
		r.paidUntil = earlier(now, r.paidUntil.Add(time.Duration(bytes)*time.Second/time.Duration(b.pace)))
	}
}

// MakeRoom interrupts bodies that come in slowly, the slowest first, until those that it has interrupted hold so many bytes.
func (b *Budget) MakeRoom(bytes int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeRoomLocked(bytes, now)
}

// makeRoomLocked is MakeRoom; the caller holds mu. Bodies that were interrupted before and still hold their bytes count.
func (b *Budget) makeRoomLocked(bytes int64, now time.Time) {
	var slow []*Hold
	for h := range b.receivers {
		switch {
		case h.receiving.interrupted:
			bytes -= h.bytes
		case now.Sub(h.receiving.paidUntil) > slowAllowance:
			slow = append(slow, h)
		}
	}
	slices.SortFunc(slow, func(x, y *Hold) int { return x.receiving.paidUntil.Compare(y.receiving.paidUntil) })
	for _, h := range slow {
		if bytes <= 0 {
			return
		}
		bytes -= h.bytes
		h.receiving.interrupted = true
		h.receiving.interrupt()
		metrics.GetOrCreateCounter(`gypsumbank_slow_bodies_interrupted_total`).Inc()
	}
}

// ReadBody reads a body of a length, -1 if it is unknown, of at most limit bytes. It reserves the bytes before it reads them. Errors wrap ErrTooLong, ErrFull or
// the error of the read.
func ReadBody(body io.Reader, length, limit int64, hold *Hold) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	if length < 0 {
		return readGrowing(body, limit, hold)
	}
	if err := hold.Reserve(length); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	for read := 0; read < len(data); {
		n, err := body.Read(data[read:min(len(data), read+readPartBytes)])
		read += n
		hold.arrived(n, time.Now())
		switch {
		case read == len(data):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}

// readGrowing reads a body of unknown length into a buffer that grows as far as the hold does.
func readGrowing(body io.Reader, limit int64, hold *Hold) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			var err error
			if data, err = resize(data, min(max(firstBodyBytes, bodyGrowth*int64(cap(data))), limit+1), hold); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(data[len(data):min(cap(data), len(data)+readPartBytes)])
		data = data[:len(data)+n]
		hold.arrived(n, time.Now())
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return trim(data, hold), nil
		case err != nil:
			return nil, err
		}
	}
}

// resize returns a copy of data with another capacity, and has the hold follow.
func resize(data []byte, capacity int64, hold *Hold) ([]byte, error) {
	if err := hold.Reserve(capacity); err != nil {
		return nil, err
	}
	copied := append(make([]byte, 0, capacity), data...)
	hold.Return(int64(cap(data)))
	return copied, nil
}

// trim returns data without the capacity beyond it, unless that is less than half or there is no room for the copy.
func trim(data []byte, hold *Hold) []byte {
	if len(data) > cap(data)/2 {
		return data
	}
	if trimmed, err := resize(data, int64(len(data)), hold); err == nil {
		return trimmed
	}
	return data
}

// earlier returns the earlier of two times.
func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}
