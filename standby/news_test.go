package standby

import (
	"testing"
	"time"
)

// TestGiveUpAt guards against answers that are cut though their engine lives, and against callers that wait for an engine that has ended.
func TestGiveUpAt(t *testing.T) {
	news := time.Unix(1000, 0)
	at := func(ms int) time.Time { return news.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		attempt   Attempt
		condition Condition
		wantMs    int // after the news
		never     bool
	}{
		"ended, stream with a copy":                           {attempt: Attempt{SentAt: at(-900), LastByteAt: at(-30), HasCopy: true}, condition: Ended, wantMs: 50},
		"ended, stream without a copy":                        {attempt: Attempt{SentAt: at(-900), LastByteAt: at(-30)}, condition: Ended, wantMs: 50},
		"ended, before the first byte":                        {attempt: Attempt{SentAt: at(-100)}, condition: Ended, wantMs: 50},
		"ended, slow caller has taken the last part":          {attempt: Attempt{SentAt: at(-900), LastByteAt: at(-400), ReadingAt: at(700)}, condition: Ended, wantMs: 750},
		"ended, bytes were in flight":                         {attempt: Attempt{SentAt: at(-900), LastByteAt: at(30)}, condition: Ended, wantMs: 80},
		"ended, but bytes keep coming":                        {attempt: Attempt{SentAt: at(-900), LastByteAt: at(60)}, condition: Ended, never: true},
		"ended, sent after the news":                          {attempt: Attempt{SentAt: at(10)}, condition: Ended, never: true},
		"silent, stream with a copy":                          {attempt: Attempt{SentAt: at(-900), LastByteAt: at(-400), HasCopy: true}, condition: Silent, wantMs: 300},
		"silent to the agent, but the stream went on a while": {attempt: Attempt{SentAt: at(-900), LastByteAt: at(200), HasCopy: true}, condition: Silent, wantMs: 500},
		"silent, stream without a copy":                       {attempt: Attempt{SentAt: at(-900), LastByteAt: at(-400)}, condition: Silent, never: true},
		"silent, long prefill":                                {attempt: Attempt{SentAt: at(-900), HasCopy: true}, condition: Silent, never: true},
		"answers":                                             {attempt: Attempt{SentAt: at(-900), LastByteAt: at(-400), HasCopy: true}, condition: Answers, never: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := GiveUpAt(c.attempt, c.condition, news)
			if ok == c.never || (ok && !got.Equal(at(c.wantMs))) {
				t.Errorf("given up %v at %v, want never %v, at %v", ok, got.Sub(news), c.never, c.wantMs)
			}
		})
	}
}
