package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service runs the subscribed functions when they are due, all on one goroutine; they must not block.
type Service struct {
	mu    sync.Mutex
	queue subscriptionHeap
	wake  chan struct{}
}

// Subscription is a pending or periodic call.
type Subscription struct {
	service *Service
	due     time.Time
	period  time.Duration
	call    func(now time.Time)
	index   int
}

// notQueued is the index of a subscription that is not in the queue.
const notQueued = -1

// NewService returns a service; Run starts it.
func NewService() *Service {
	return &Service{wake: make(chan struct{}, 1)}
}

// After calls a function once after a delay.
func (s *Service) After(delay time.Duration, call func(now time.Time)) *Subscription {
	return s.add(&Subscription{service: s, due: time.Now().Add(delay), call: call})
}

// Every calls a function periodically, the first time after one period.
func (s *Service) Every(period time.Duration, call func(now time.Time)) *Subscription {
	return s.add(&Subscription{service: s, due: time.Now().Add(period), period: period, call: call})
}

func (s *Service) add(sub *Subscription) *Subscription {
	s.mu.Lock()
	heap.Push(&s.queue, sub)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sub
}

// Cancel ends the subscription; a call that is already running is not interrupted.
func (sub *Subscription) Cancel() {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	sub.period = 0
	if sub.index != notQueued {
		heap.Remove(&sub.service.queue, sub.index)
	}
}

// Run calls the due functions until the context is cancelled.
func (s *Service) Run(ctx context.Context) error {
	for {
		wait := s.callDue(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// idleWait is how long Run waits if the queue is empty.
const idleWait = time.Hour

// callDue runs the calls that are due and returns the time until the next one.
func (s *Service) callDue(now time.Time) time.Duration {
	for {
		sub, wait := s.next(now)
		if sub == nil {
			return wait
		}
		sub.call(now)
		s.reschedule(sub, now)
	}
}

func (s *Service) next(now time.Time) (*Subscription, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, idleWait
	}
	if wait := s.queue[0].due.Sub(now); wait > 0 {
		return nil, wait
	}
	return heap.Pop(&s.queue).(*Subscription), 0
}

func (s *Service) reschedule(sub *Subscription, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.period == 0 {
		return
	}
	sub.due = now.Add(sub.period)
	heap.Push(&s.queue, sub)
}

// subscriptionHeap orders subscriptions by due time.
type subscriptionHeap []*Subscription

func (h subscriptionHeap) Len() int           { return len(h) }
func (h subscriptionHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h subscriptionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *subscriptionHeap) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*h)
	*h = append(*h, sub)
}

func (h *subscriptionHeap) Pop() any {
	old := *h
	last := len(old) - 1
	sub := old[last]
	old[last] = nil
	*h = old[:last]
	sub.index = notQueued
	return sub
}
