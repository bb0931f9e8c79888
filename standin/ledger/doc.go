// Package ledger simulates a plain service, not a model engine, that records business events.
package ledger
