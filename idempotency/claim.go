package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gypsumbank/service"
	"gypsumbank/table"
)

// claim is the form in which a record is stored in the table.
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

// reusable reports whether a new attempt may replace the claim, because the claimed call was certainly not run: the
// claim was aborted, or this incarnation wrote it but got no answer from the table and did not run the call.
func (c claim) reusable(incarnation uint64) bool {
	return c.Status == statusAborted || (c.Status == statusStarted && c.Incarnation == incarnation)
}

// applyClaim sets the state of the record to that of a claim in the table.
func (k *record) applyClaim(stored claim, version uint64) {
	k.status = stored.Status
	k.digest = stored.Digest
	k.answer = stored.Answer
	k.version = version
	k.fromTable = true
}

// claimPut returns the write of a record's present state, conditional on the version of the claim that the record
// knows.
func (r *Registry) claimPut(rec *record) table.Put {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := claim{
		Status:      rec.status,
		Target:      r.target,
		Incarnation: r.incarnation,
		Attempt:     rec.attempt,
		Digest:      rec.digest,
		Answer:      rec.answer,
	}
	value, _ := json.Marshal(stored)
	return table.Put{
		Key:        r.claimKey(rec),
		Value:      value,
		IfVersion:  rec.version,
		TTLSeconds: int64(r.config.KeyRetention.Seconds()),
	}
}

// flushRecord writes the present state of a record to the table unless the claim there belongs to another attempt that
// may have run. The record stays pending if the table does not answer, if the claim changes meanwhile or if the call is
// still running, so that it is written again later.
func (r *Registry) flushRecord(ctx context.Context, rec *record) {
	item, err := r.table.Get(ctx, r.claimKey(rec))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	if err == nil && !r.mayReplace(item, rec) {
		r.removePending(rec)
		return
	}
	r.mu.Lock()
	rec.version = item.Version
	writtenStatus := rec.status
	r.mu.Unlock()
	if err := r.table.Write(ctx, table.Transaction{Puts: []table.Put{r.claimPut(rec)}}); err != nil {
		return
	}
	if writtenStatus != statusStarted {
		r.removePending(rec)
	}
}

// mayReplace reports whether a record may overwrite a claim: its own, one that cannot be decoded, or one of a call that
// was certainly not run. An aborted record overwrites no claim of another attempt.
func (r *Registry) mayReplace(item table.Item, rec *record) bool {
	stored, err := decodeClaim(item)
	if err != nil {
		return true
	}
	if stored.Incarnation == r.incarnation && stored.Attempt == rec.attempt {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored.Status == statusAborted || stored.reusable(r.incarnation) {
		return rec.status != statusAborted
	}
	return false
}

func (r *Registry) removePending(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[rec.hash] == rec {
		delete(r.pending, rec.hash)
	}
}
