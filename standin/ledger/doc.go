// Package ledger is a stand-in for a plain service that records business events.
package ledger
