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
	charsPerToken    = 4    // of prompts
	chunkBuffer      = 4096 // chunks that a sequence may be ahead of its reader
	defaultMaxTokens = 4096
	maxLoadReports   = 256
	crashMarker      = "[[crash]]" // a prompt with it crashes the engine
)

var (
	// lengthMarker sets the number of tokens of the answer from within a prompt.
	lengthMarker = regexp.MustCompile(`\[\[length=(\d+)\]\]`)
	vocabulary   = strings.Fields("amber cedar clove resin myrrh rose musk vetiver lime sage sand salt oil blend drop note base heart top warm light deep soft clean mat dock swap route week")
)

// sequence is a request in progress.
type sequence struct {
	request      client.Request
	nextIndex    int // index of the next token in the whole answer, tokens of request.Prefix included
	answerTokens int // length of the whole answer
	prefillEnd   time.Time
	started      bool              // has been in the batch for a decoding step
	chunks       chan client.Chunk // closed when the sequence has ended
	closed       bool
}

// batch schedules the sequences of an engine with continuous batching.
type batch struct {
	slots          int                  // sequences that run at a time
	running        []*sequence          // those in slots
	waiting        []*sequence          // by falling priority, then in the order of arrival
	sequences      map[string]*sequence // running and waiting, by request id
	importedTokens map[string]int       // by request id: tokens in the KV cache imported ahead of the request
}

// Token returns the token at an index of the answer to a request. It depends only on the model, the adapter, the
// prompt, the seed and the index, so that each engine gives the same answer.
func Token(request client.Request, index int) string {
	hashInput := request.Model + "\x00" + request.Adapter + "\x00" + request.Prompt + "\x00" + strconv.FormatUint(request.Seed, 10) + "\x00" + strconv.Itoa(index)
	return vocabulary[xxhash.Sum64String(hashInput)%uint64(len(vocabulary))] + " "
}

// AnswerTokens returns the number of tokens of the answer to a request, limited by its MaxTokens.
func AnswerTokens(request client.Request) int {
	limit := request.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	return min(limit, unlimitedAnswerTokens(request))
}

// unlimitedAnswerTokens returns the number of tokens of the answer without a limit: the one in the prompt's length
// marker, or else 8 to 32 by a hash of the prompt.
func unlimitedAnswerTokens(request client.Request) int {
	if match := lengthMarker.FindStringSubmatch(request.Prompt); match != nil {
		length, _ := strconv.Atoi(match[1])
		return max(1, length)
	}
	return 8 + int(xxhash.Sum64String(request.Prompt)%25)
}

func promptTokens(request client.Request) int { return 1 + len(request.Prompt)/charsPerToken }

// add queues a request whose prefill takes the given time, counted from now; an earlier sequence with the same request
// id is removed.
func (b *batch) add(request client.Request, prefill time.Duration) *sequence {
	if earlier, ok := b.sequences[request.ID]; ok {
		b.remove(earlier)
	}
	seq := &sequence{
		request:      request,
		nextIndex:    len(request.Prefix),
		answerTokens: AnswerTokens(request),
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

// remove ends a sequence and frees its slot.
func (b *batch) remove(seq *sequence) {
	seq.close()
	b.running = withoutSequence(b.running, seq)
	b.waiting = withoutSequence(b.waiting, seq)
	if b.sequences[seq.request.ID] == seq {
		delete(b.sequences, seq.request.ID)
	}
}

// closeAll ends the streams of all sequences; the batch must not be used afterwards.
func (b *batch) closeAll() {
	for _, seq := range b.sequences {
		seq.close()
	}
}

// admitWaiting moves waiting sequences into free slots; it preempts none.
func (b *batch) admitWaiting() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// decodeStep emits the next token of each running sequence whose prefill has ended.
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

// emitNext emits the next token, or the final chunk after the last one. It returns true if the sequence is over, which
// it also is if chunkBuffer chunks have not been read.
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

// exportedRequest returns the request with all tokens of the answer so far as its prefix; it stands for the KV cache.
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

// runBatches runs decoding steps until the engine is closed.
func (s *Server) runBatches() {
	for s.ctx.Err() == nil {
		time.Sleep(s.runStep())
	}
}

// runStep runs one decoding step and returns the time that it takes. It crashes the engine instead if a sequence with
// crashMarker has entered the batch.
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
