package storage

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

const (
	journalPrefix   = "journal-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	folderMode      = 0o750
	fileMode        = 0o640
	numberDigits    = 16
)

func numberedName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, numberDigits, number)
}

// numberedFiles returns the numbers of the files in a folder whose names start with a prefix, in ascending order.
func numberedFiles(dir, prefix string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("storage: %w", err)
	}
	var numbers []uint64
	for _, entry := range entries {
		digits, found := strings.CutPrefix(entry.Name(), prefix)
		if _, err := hex.DecodeString(digits); !found || err != nil || len(digits) != numberDigits {
			continue
		}
		number, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("storage: %s: %w", entry.Name(), err)
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// writeDurably replaces a file atomically and syncs it, so that a crash leaves either the old or the new contents.
func writeDurably(path string, data []byte) error {
	temporary := path + temporarySuffix
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}
