package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gypsumbank/service"
	"gypsumbank/table"
)

// claim is the durable form of a record.
type claim struct {
	Status      status          `json:"status"`
	Target      string          `json:"target"`
	Incarnation uint64          `json:"incarnation"`
	Attempt     uint64          `json:"attempt"` // unique within the incarnation
	Digest      uint64          `json:"digest"`
	Answer      *service.Answer `json:"answer,omitempty"`
}

func decodeClaim(item table.Item) (claim, error) {
	var stored claim
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return claim{}, fmt.Errorf("claim %s cannot be read: %w", item.Key, err)
	}
	return stored, nil
}

// reusable reports whether the claim certainly stands for no run: it was aborted, or written by this incarnation for a
// call that it then gave up.
func (c claim) reusable(incarnation uint64) bool {
	return c.Status == aborted || (c.Status == started && c.Incarnation == incarnation)
}

func (k *record) take(stored claim, version uint64) {
	k.status = stored.Status
	k.digest = stored.Digest
	k.answer = stored.Answer
	k.version = version
	k.inherited = true
}

func (r *Registry) put(known *record) table.Put {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := claim{
		Status:      known.status,
		Target:      r.target,
		Incarnation: r.incarnation,
		Attempt:     known.attempt,
		Digest:      known.digest,
		Answer:      known.answer,
	}
	value, _ := json.Marshal(stored)
	return table.Put{
		Key:        r.claimKey(known),
		Value:      value,
		IfVersion:  known.version,
		TTLSeconds: int64(r.config.KeyRetention.Seconds()),
	}
}

// flush writes the present state of a record to the table, but never over the claim of another attempt to run.
func (r *Registry) flush(ctx context.Context, known *record) {
	item, err := r.table.Get(ctx, r.claimKey(known))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	if err == nil && !r.mayReplace(item, known) {
		r.settled(known)
		return
	}
	r.mu.Lock()
	known.version = item.Version
	written := known.status
	r.mu.Unlock()
	if err := r.table.Write(ctx, table.Transaction{Puts: []table.Put{r.put(known)}}); err != nil {
		return
	}
	if written != started {
		r.settled(known)
	}
}

func (r *Registry) mayReplace(item table.Item, known *record) bool {
	stored, err := decodeClaim(item)
	if err != nil {
		return true
	}
	if stored.Incarnation == r.incarnation && stored.Attempt == known.attempt {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored.Status == aborted || stored.reusable(r.incarnation) {
		return known.status != aborted
	}
	return false
}

func (r *Registry) settled(known *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[known.hash] == known {
		delete(r.pending, known.hash)
	}
}
