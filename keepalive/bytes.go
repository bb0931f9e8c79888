package keepalive

import "github.com/VictoriaMetrics/metrics"

var (
	bytesSent     = metrics.NewCounter(`gypsumbank_caller_bytes_total{direction="sent"}`)
	bytesReceived = metrics.NewCounter(`gypsumbank_caller_bytes_total{direction="received"}`)
)

// BytesReceived returns the bytes that all callers of the process have sent so far.
func BytesReceived() uint64 { return bytesReceived.Get() }
