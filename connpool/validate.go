package connpool

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/quietconn"
)

const (
	// validationMargin is the time that a target's reset may take beyond the round trip.
	validationMargin = time.Millisecond
	// maxValidation bounds the wait of Validate. A round trip between availability zones takes some 7 ms.
	maxValidation = 20 * time.Millisecond
)

// ErrStale reports that the target has ended an idle connection, or has sent bytes on it that belong to no request.
var ErrStale = errors.New("idle connection is stale")

// canValidate reports whether Validate may take as long as a round trip to the target.
func (c *Conn) canValidate() bool { return c.roundTrip+validationMargin <= maxValidation }

// Validate sends the first bytes of a request's head, which must be too few for the target to act on, and waits for a round trip to the
// target. If the target has ended the connection or sends anything in that time, the connection is closed and the error is ErrStale; if ctx
// ends, it is reset and the error is that of ctx.
func (c *Conn) Validate(ctx context.Context, first []byte) error {
	stopAbort := context.AfterFunc(ctx, c.Abort)
	_, err := c.Write(first)
	sound := err == nil && quietconn.StaysQuiet(c.Conn, c.roundTrip+validationMargin)
	if !stopAbort() {
		countValidation("canceled")
		return ctx.Err()
	}
	if !sound {
		countValidation("stale")
		_ = c.Close()
		return ErrStale
	}
	countValidation("sound")
	return nil
}

// countValidation counts the result of a validation.
func countValidation(result string) {
	metrics.GetOrCreateCounter(`gypsumbank_target_validations_total{result="` + result + `"}`).Inc()
}
