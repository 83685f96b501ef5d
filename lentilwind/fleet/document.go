package fleet

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"lentilwind.dev/lentilwind/policy"
)

// MaxDocumentBytes bounds the size of an uncompressed configuration.
const MaxDocumentBytes = 4 << 20

// CompressDocument returns a document with the compressed configuration.
func CompressDocument(version policy.Version, body []byte) (Document, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return Document{}, fmt.Errorf("fleet: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return Document{}, fmt.Errorf("fleet: %w", err)
	}
	if err := w.Close(); err != nil {
		return Document{}, fmt.Errorf("fleet: %w", err)
	}
	return Document{Version: version, Body: compressed.Bytes()}, nil
}

// Decompress returns the configuration as the operator sent it.
func (d Document) Decompress() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Body)), MaxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("fleet: document %d: %w", d.Version, err)
	}
	if len(body) > MaxDocumentBytes {
		return nil, fmt.Errorf("fleet: document %d is larger than %d bytes", d.Version, MaxDocumentBytes)
	}
	return body, nil
}
