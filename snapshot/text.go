package snapshot

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"gypsumbank/inifile"
)

// Compress returns the text of a list as it is kept in a snapshot message.
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

// decompress returns the text of a list; the error wraps inifile.ErrInvalid.
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
