package entry

import "github.com/VictoriaMetrics/metrics"

var (
	firstTokenSeconds = metrics.NewHistogram(`gypsumbank_first_token_seconds`)
	tokensDelivered   = metrics.NewCounter(`gypsumbank_tokens_delivered_total`)
)
