package memory

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrExhausted means that the memory of the process is in use; the input that needed it was not read.
var ErrExhausted = errors.New("memory: no memory is left for this input")

// Budget is a number of bytes that accounts share. It is safe for concurrent use.
//
// It answers crowds of connections that each hold input of legal size: what is not granted is not read, and holders of large unfinished
// input give way to small requests.
type Budget struct {
	mu    sync.Mutex
	limit int
	used  int
	// holders are the accounts that hold at least minHolding bytes.
	holders map[*Account]struct{}
	refused uint64
	evicted uint64
}

// minHolding is the least number of bytes for which an account may be evicted.
const minHolding = 16 << 10

// Account is the part of a budget that one connection holds. Its methods do nothing, and grant everything, if it is nil.
type Account struct {
	budget *Budget
	evict  func()

	// The fields below are protected by the budget's lock.
	used      int
	evictable bool
	evicted   bool
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit, holders: make(map[*Account]struct{})} }

// Open returns an account that holds nothing. The function evict, which must not block, makes its connection end; it is called at most once.
func (b *Budget) Open(evict func()) *Account { return &Account{budget: b, evict: evict} }

// Stats are the counts of a budget.
type Stats struct {
	// Limit and Used are in bytes.
	Limit, Used int
	// Refused counts the requests for memory that were not granted, and Evicted the accounts that had to give way.
	Refused, Evicted uint64
}

// Stats returns the present counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Limit: b.limit, Used: b.used, Refused: b.refused, Evicted: b.evicted}
}

// Grow adds bytes to what the account holds. If the budget is used up, accounts that hold at least twice as much without working on it
// are evicted; if there are none, it returns ErrExhausted.
func (a *Account) Grow(n int) error {
	if a == nil || n <= 0 {
		return nil
	}
	b := a.budget
	var evict []func()
	b.mu.Lock()
	err := b.grow(a, n, &evict)
	b.mu.Unlock()
	for _, f := range evict {
		f()
	}
	return err
}

func (b *Budget) grow(a *Account, n int, evict *[]func()) error {
	if a.evicted {
		return ErrExhausted
	}
	for b.used+n > b.limit {
		victim := b.largestEvictable(a)
		if victim == nil || victim.used < 2*(a.used+n) {
			b.refused++
			return ErrExhausted
		}
		// Its connection ends soon. Until then the bytes are garbage that the process must collect.
		victim.evicted = true
		b.setUsed(victim, 0)
		b.evicted++
		*evict = append(*evict, victim.evict)
	}
	b.setUsed(a, a.used+n)
	return nil
}

func (b *Budget) largestEvictable(except *Account) *Account {
	var largest *Account
	for a := range b.holders {
		if a != except && a.evictable && (largest == nil || a.used > largest.used) {
			largest = a
		}
	}
	return largest
}

func (b *Budget) setUsed(a *Account, used int) {
	b.used += used - a.used
	a.used = used
	if used >= minHolding {
		b.holders[a] = struct{}{}
	} else {
		delete(b.holders, a)
	}
}

// Shrink gives bytes back.
func (a *Account) Shrink(n int) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.setUsed(a, max(0, a.used-n))
}

// SetEvictable tells whether the connection may be ended to make room: it waits for its peer and works on nothing.
func (a *Account) SetEvictable(evictable bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.evictable = evictable
}

// Evicted reports whether the account had to give way.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close gives back all that the account holds.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.evicted = true
	a.budget.setUsed(a, 0)
}

// ErrTooLarge means that input is longer than its limit.
var ErrTooLarge = errors.New("memory: the input is too large")

// firstChunk is the size of the first buffer of ReadAll.
const firstChunk = 4 << 10

// ReadAll reads all of r, at most limit bytes, into memory that is taken from the account before it is filled. The caller gives back
// cap(data) bytes.
func ReadAll(a *Account, r io.Reader, limit int) (data []byte, err error) {
	return ReadUpTo(a, r, limit, limit+1)
}

// ReadUpTo reads n bytes of r, or all if there are fewer, like ReadAll; more than limit bytes are an error.
func ReadUpTo(a *Account, r io.Reader, limit, n int) (data []byte, err error) {
	defer func() {
		if err != nil {
			a.Shrink(cap(data))
			data = nil
		}
	}()
	for len(data) < n {
		if len(data) == cap(data) {
			size := min(max(firstChunk, 2*cap(data)), n)
			if err := a.Grow(size); err != nil {
				return data, err
			}
			next := make([]byte, len(data), size)
			copy(next, data)
			a.Shrink(cap(data))
			data = next
		}
		read, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+read]
		switch {
		case len(data) > limit:
			return data, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
	return data, nil
}
