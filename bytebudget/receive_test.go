package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"
)

// TestSlowBodiesGiveWay guards against bodies that stand still and keep the memory that others need, and against the end of those that come in at the least
// pace or had no time yet.
func TestSlowBodiesGiveWay(t *testing.T) {
	const body = 4 * mib
	began := time.Now()
	tests := map[string]struct {
		bytesPerSecond int
		after          time.Duration
		want           bool // is interrupted
	}{
		"nothing comes":          {0, slowAllowance + time.Second, true},
		"half of the pace":       {DefaultPace / 2, 3 * slowAllowance, true},
		"the least pace":         {DefaultPace, time.Minute, false},
		"faster":                 {4 * DefaultPace, 10 * time.Second, false},
		"nothing comes for long": {0, time.Minute, true},
		"nothing has come yet":   {0, slowAllowance, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := New(2 * body)
			hold := budget.Begin("a")
			if err := hold.Reserve(body); err != nil {
				t.Fatal(err)
			}
			interrupted := 0
			hold.Receive(func() { interrupted++ }, began)
			const step = 100 * time.Millisecond
			now := began
			for ; now.Before(began.Add(test.after)); now = now.Add(step) {
				hold.arrived(test.bytesPerSecond/int(time.Second/step), now)
			}
			budget.MakeRoom(body, now)
			budget.MakeRoom(body, now)
			if (interrupted == 1) != test.want || interrupted > 1 {
				t.Errorf("interrupted %d times, want one: %v", interrupted, test.want)
			}
			if hold.EndReceive() != test.want {
				t.Errorf("EndReceive does not tell that the body was interrupted: %v", test.want)
			}
			hold.Release()
			if budget.Held() != 0 {
				t.Errorf("%d bytes are held at the end", budget.Held())
			}
		})
	}
}

// TestFailedReserveInterruptsAsMuchAsItNeeds has several bodies stand still, of which one is enough for the next request.
func TestFailedReserveInterruptsAsMuchAsItNeeds(t *testing.T) {
	budget := New(8 * mib)
	interrupted := 0
	long := time.Now().Add(-time.Minute)
	for {
		hold := budget.Begin("a")
		if hold.Reserve(mib) != nil {
			break
		}
		hold.Receive(func() { interrupted++ }, long)
	}
	for range 3 { // requests that find those that have been interrupted still there
		if err := budget.Begin("b").Reserve(2 * mib); err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
	}
	if interrupted < 1 || interrupted > 3 {
		t.Errorf("%d bodies of 1 MiB were interrupted for one of 2 MiB", interrupted)
	}
}

// TestReadBodyReadsWhatWasSent reads bodies of each kind of framing in reads of any size.
func TestReadBodyReadsWhatWasSent(t *testing.T) {
	const limit = 300 << 10
	readers := map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "one byte": iotest.OneByteReader, "half": iotest.HalfReader, "end with data": iotest.DataErrReader,
	}
	tests := map[string]struct {
		sent   int
		length int64 // announced
		want   error
	}{
		"empty":              {0, 0, nil},
		"short":              {10, 10, nil},
		"longest":            {limit, limit, nil},
		"cut":                {9, 10, io.ErrUnexpectedEOF},
		"announced too long": {limit + 1, limit + 1, ErrTooLong},
		"empty, chunks":      {0, -1, nil},
		"short, chunks":      {10, -1, nil},
		"longest, chunks":    {limit, -1, nil},
		"too long, chunks":   {limit + 1, -1, ErrTooLong},
	}
	for name, test := range tests {
		for kind, reader := range readers {
			t.Run(name+"/"+kind, func(t *testing.T) {
				budget := New(testLimit)
				hold := budget.Begin("a")
				sent := bytes.Repeat([]byte("x"), test.sent)
				got, err := ReadBody(reader(bytes.NewReader(sent)), test.length, limit, hold)
				if !errors.Is(err, test.want) || err == nil && !bytes.Equal(got, sent) {
					t.Errorf("%d bytes, error %v, want %d and %v", len(got), err, len(sent), test.want)
				}
				if err == nil && budget.Held() < int64(len(got)) {
					t.Errorf("%d bytes are held for a body of %d", budget.Held(), len(got))
				}
			})
		}
	}
}
