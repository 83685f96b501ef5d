package wal_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/bench/internal/wal"
)

func openLog(t *testing.T, file wal.File) (*wal.Log, []string) {
	t.Helper()
	log, entries, err := wal.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, e := range entries {
		texts = append(texts, string(e))
	}
	return log, texts
}

func TestTornTailIsTruncated(t *testing.T) {
	file := &wal.MemoryFile{}
	log, _ := openLog(t, file)
	if err := errors.Join(log.Sync(log.Append([]byte("one"))), log.Sync(log.Append([]byte("two")))); err != nil {
		t.Fatal(err)
	}
	whole, _ := file.ReadAll()
	for size := range whole {
		torn := &wal.MemoryFile{}
		if err := torn.Write(whole[:size]); err != nil {
			t.Fatal(err)
		}
		reopened, got := openLog(t, torn)
		want := []string(nil)
		if size >= len(whole)/2 {
			want = []string{"one"}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("cut at %d: %s", size, diff)
		}
		if err := reopened.Sync(reopened.Append([]byte("three"))); err != nil {
			t.Fatal(err)
		}
		if _, got := openLog(t, torn); got[len(got)-1] != "three" {
			t.Fatalf("cut at %d: the log holds %q", size, got)
		}
	}
}

func TestConcurrentSyncsAreDurable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data", "log")
	file, err := wal.OpenDiskFile(path)
	if err != nil {
		t.Fatal(err)
	}
	log, _ := openLog(t, file)
	const writers, each = 8, 25
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				if err := log.Sync(log.Append(fmt.Appendf(nil, "%d-%d", w, i))); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if file, err = wal.OpenDiskFile(path); err != nil {
		t.Fatal(err)
	}
	log, got := openLog(t, file)
	defer func() { _ = log.Close() }()
	if len(got) != writers*each {
		t.Errorf("%d entries were read back, want %d", len(got), writers*each)
	}
}

func TestCloseFailsPendingEntries(t *testing.T) {
	file := &wal.MemoryFile{}
	log, _ := openLog(t, file)
	log.SetSyncPaused(true)
	end := log.Append([]byte("lost"))
	failed := make(chan error, 1)
	go func() { failed <- log.Sync(end) }()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, wal.ErrClosed) {
		t.Errorf("Sync returned %v, want ErrClosed", err)
	}
	if _, got := openLog(t, file); got != nil {
		t.Errorf("the log holds %q", got)
	}
}
