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
	chunkBuffer      = 4096
	defaultMaxTokens = 4096
	maxLoadReports   = 256
	crashMarker      = "[[crash]]"
)

var (
	lengthMarker = regexp.MustCompile(`\[\[length=(\d+)\]\]`)
	vocabulary   = strings.Fields("amber cedar clove resin myrrh rose musk vetiver lime sage sand salt oil blend drop note base heart top warm light deep soft clean mat dock swap route week")
)

type sequence struct {
	request      client.Request
	nextIndex    int
	answerTokens int
	prefillEnd   time.Time
	started      bool
	chunks       chan client.Chunk
	closed       bool
}

type batch struct {
	slots          int
	running        []*sequence
	waiting        []*sequence
	sequences      map[string]*sequence
	importedTokens map[string]int // tokens in the KV cache imported for a request that is to come
}

// Token returns the token at an index of the answer to a request; it depends on nothing else.
func Token(request client.Request, index int) string {
	hashInput := request.Model + "\x00" + request.Adapter + "\x00" + request.Prompt + "\x00" + strconv.FormatUint(request.Seed, 10) + "\x00" + strconv.Itoa(index)
	return vocabulary[xxhash.Sum64String(hashInput)%uint64(len(vocabulary))] + " "
}

// Length returns the number of tokens of the answer to a request.
func Length(request client.Request) int {
	limit := request.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	return min(limit, unlimitedAnswerTokens(request))
}

func unlimitedAnswerTokens(request client.Request) int {
	if match := lengthMarker.FindStringSubmatch(request.Prompt); match != nil {
		length, _ := strconv.Atoi(match[1])
		return max(1, length)
	}
	return 8 + int(xxhash.Sum64String(request.Prompt)%25)
}

func promptTokens(request client.Request) int { return 1 + len(request.Prompt)/charsPerToken }

func (b *batch) add(request client.Request, prefill time.Duration) *sequence {
	if earlier, ok := b.sequences[request.ID]; ok {
		b.remove(earlier)
	}
	seq := &sequence{
		request:      request,
		nextIndex:    len(request.Prefix),
		answerTokens: Length(request),
		prefillEnd:   time.Now().Add(prefill),
		chunks:       make(chan client.Chunk, chunkBuffer),
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
	b.running = withoutSequence(b.running, seq)
	b.waiting = withoutSequence(b.waiting, seq)
	if b.sequences[seq.request.ID] == seq {
		delete(b.sequences, seq.request.ID)
	}
}

func (b *batch) closeAll() {
	for _, seq := range b.sequences {
		seq.close()
	}
}

func (b *batch) admitWaiting() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

func (b *batch) decodeStep(now time.Time) {
	for _, seq := range append([]*sequence(nil), b.running...) {
		if now.Before(seq.prefillEnd) {
			continue
		}
		if seq.emitNext() {
			b.remove(seq)
		}
	}
}

func (s *sequence) emitNext() bool {
	if s.nextIndex < s.answerTokens {
		chunk := client.Chunk{Index: s.nextIndex, Token: Token(s.request, s.nextIndex)}
		s.nextIndex++
		return !s.trySend(chunk)
	}
	reason := "stop"
	if s.answerTokens < unlimitedAnswerTokens(s.request) {
		reason = "length"
	}
	s.trySend(client.Chunk{Index: s.nextIndex, Done: true, Reason: reason, PromptTokens: promptTokens(s.request)})
	return true
}

func (s *sequence) trySend(chunk client.Chunk) bool {
	select {
	case s.chunks <- chunk:
		return true
	default:
		return false
	}
}

// exportedRequest returns the request with all tokens that its KV cache stands for.
func (s *sequence) exportedRequest() client.Request {
	exported := s.request
	exported.Prefix = nil
	for i := range s.nextIndex {
		exported.Prefix = append(exported.Prefix, Token(s.request, i))
	}
	return exported
}

func (s *sequence) close() {
	if !s.closed {
		s.closed = true
		close(s.chunks)
	}
}

func withoutSequence(list []*sequence, seq *sequence) []*sequence {
	for i, candidate := range list {
		if candidate == seq {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (s *Server) runBatches() {
	for s.ctx.Err() == nil {
		time.Sleep(s.runStep())
	}
}

func (s *Server) runStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.admitWaiting()
	for _, seq := range s.batch.running {
		if !seq.started && strings.Contains(seq.request.Prompt, crashMarker) {
			s.crash()
			return s.config.StepBase
		}
		seq.started = true
	}
	s.batch.decodeStep(time.Now())
	s.loadReports = append(s.loadReports, loadReport{takenAt: time.Now(), Running: len(s.batch.running), Waiting: len(s.batch.waiting)})
	if len(s.loadReports) > maxLoadReports {
		s.loadReports = s.loadReports[1:]
	}
	duration := s.config.StepBase + time.Duration(len(s.batch.running))*s.config.StepPerSequence
	return time.Duration(float64(duration) * max(1, s.faults.Get().Slowdown))
}
