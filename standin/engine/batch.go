package engine

import (
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	client "gypsumbank/engine"
)

const (
	charsPerToken    = 4
	outBuffer        = 4096
	defaultMaxTokens = 4096
	maxReports       = 256
	crashMark        = "[[crash]]"
)

var (
	lengthMark = regexp.MustCompile(`\[\[length=(\d+)\]\]`)
	vocabulary = strings.Fields("amber cedar clove resin myrrh rose musk vetiver lime sage sand salt oil blend drop note base heart top warm light deep soft clean mat dock swap route week")
)

type sequence struct {
	request client.Request
	next    int
	length  int
	ready   time.Time
	started bool
	out     chan client.Chunk
	closed  bool
}

type batch struct {
	slots     int
	running   []*sequence
	waiting   []*sequence
	sequences map[string]*sequence
	imported  map[string]int // tokens in the KV cache imported for a request that is to come
}

// Token returns the token at an index of the answer to a request; it depends on nothing else.
func Token(request client.Request, index int) string {
	key := request.Model + "\x00" + request.Adapter + "\x00" + request.Prompt + "\x00" + strconv.FormatUint(request.Seed, 10) + "\x00" + strconv.Itoa(index)
	return vocabulary[xxhash.Sum64String(key)%uint64(len(vocabulary))] + " "
}

// AnswerTokens returns the number of tokens of the answer to a request.
func AnswerTokens(request client.Request) int {
	limit := request.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	return min(limit, naturalLength(request))
}

func naturalLength(request client.Request) int {
	if mark := lengthMark.FindStringSubmatch(request.Prompt); mark != nil {
		length, _ := strconv.Atoi(mark[1])
		return max(1, length)
	}
	return 8 + int(xxhash.Sum64String(request.Prompt)%25)
}

func promptTokens(request client.Request) int { return 1 + len(request.Prompt)/charsPerToken }

func (b *batch) add(request client.Request, prefill time.Duration) *sequence {
	if old, ok := b.sequences[request.ID]; ok {
		b.remove(old)
	}
	seq := &sequence{
		request: request,
		next:    len(request.Prefix),
		length:  AnswerTokens(request),
		ready:   time.Now().Add(prefill),
		out:     make(chan client.Chunk, outBuffer),
	}
	b.sequences[request.ID] = seq
	b.waiting = append(b.waiting, seq)
	sort.SliceStable(b.waiting, func(i, j int) bool {
		return b.waiting[i].request.Priority > b.waiting[j].request.Priority
	})
	return seq
}

func (b *batch) remove(seq *sequence) {
	seq.close()
	b.running = without(b.running, seq)
	b.waiting = without(b.waiting, seq)
	if b.sequences[seq.request.ID] == seq {
		delete(b.sequences, seq.request.ID)
	}
}

func (b *batch) abandon() {
	for _, seq := range b.sequences {
		seq.close()
	}
}

func (b *batch) fill() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

func (b *batch) step(now time.Time) {
	for _, seq := range append([]*sequence(nil), b.running...) {
		if now.Before(seq.ready) {
			continue
		}
		if seq.advance() {
			b.remove(seq)
		}
	}
}

func (s *sequence) advance() bool {
	if s.next < s.length {
		chunk := client.Chunk{Index: s.next, Token: Token(s.request, s.next)}
		s.next++
		return !s.send(chunk)
	}
	reason := "stop"
	if s.length < naturalLength(s.request) {
		reason = "length"
	}
	s.send(client.Chunk{Index: s.next, Done: true, Reason: reason, PromptTokens: promptTokens(s.request)})
	return true
}

func (s *sequence) send(chunk client.Chunk) bool {
	select {
	case s.out <- chunk:
		return true
	default:
		return false
	}
}

// export returns the request with all tokens that its KV cache stands for.
func (s *sequence) export() client.Request {
	exported := s.request
	exported.Prefix = nil
	for i := range s.next {
		exported.Prefix = append(exported.Prefix, Token(s.request, i))
	}
	return exported
}

func (s *sequence) close() {
	if !s.closed {
		s.closed = true
		close(s.out)
	}
}

func without(list []*sequence, seq *sequence) []*sequence {
	for i, candidate := range list {
		if candidate == seq {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (s *Server) run() {
	for s.ctx.Err() == nil {
		time.Sleep(s.step())
	}
}

func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.fill()
	for _, seq := range s.batch.running {
		if !seq.started && strings.Contains(seq.request.Prompt, crashMark) {
			s.crash()
			return s.config.StepBase
		}
		seq.started = true
	}
	s.batch.step(time.Now())
	s.reports = append(s.reports, loadReport{at: time.Now(), Running: len(s.batch.running), Waiting: len(s.batch.waiting)})
	if len(s.reports) > maxReports {
		s.reports = s.reports[1:]
	}
	duration := s.config.StepBase + time.Duration(len(s.batch.running))*s.config.StepPerSequence
	return time.Duration(float64(duration) * max(1, s.faults.Get().Slowdown))
}
