package snapshot

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"gypsumbank/inifile"
)

// Compress returns the text of a list in the form of a snapshot message: compressed by gzip, or nil if it is empty.
func Compress(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(text)
	_ = writer.Close()
	return compressed.Bytes()
}

// decompress returns the text of a list from a snapshot message. It reads one byte more than a list may have, so that
// the parser rejects a larger one, and never holds more than that in memory. The error wraps inifile.ErrInvalid.
func decompress(name string, compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", name, err, inifile.ErrInvalid)
	}
	text, err := io.ReadAll(io.LimitReader(reader, inifile.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", name, err, inifile.ErrInvalid)
	}
	return text, nil
}
