package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// Writer writes records as JSON lines.
type Writer[T any] struct {
	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
	enc  *json.Encoder
}

// Create creates or truncates a file and creates its folder.
func Create[T any](path string) (*Writer[T], error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	w := bufio.NewWriter(file)
	return &Writer[T]{file: file, w: w, enc: json.NewEncoder(w)}, nil
}

// Add appends one record.
func (w *Writer[T]) Add(record T) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enc.Encode(record); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Close flushes buffered records and closes the file.
func (w *Writer[T]) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.w.Flush(), w.file.Close())
}

// Read returns the records of a file; an incomplete last line, left when its writer was killed, is ignored.
func Read[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	var records []T
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, fmt.Errorf("history: %s, record %d: %w", path, len(records)+1, err)
		}
		records = append(records, record)
	}
}
