package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwind.dev/lentilwind/queue"
)

type (
	testQueue = queue.Queue[string, int]
	request   = queue.Request[string, int]
)

var start = time.Unix(1000, 0)

func push(q *testQueue, key string, weight, class int, now time.Time) queue.PushResult[string, int] {
	return q.Push(request{Key: key, Weight: weight, Class: class, Deadline: now.Add(time.Hour)}, now)
}

func ExampleQueue() {
	q := queue.New[string, string](queue.Config{Classes: 2, MaxLength: 100, AgingThreshold: time.Second})
	now := time.Unix(0, 0)
	for _, r := range []queue.Request[string, string]{
		{Key: "florists", Class: 1, Value: "lookup 1"},
		{Key: "florists", Class: 1, Value: "lookup 2"},
		{Key: "stallholders", Class: 1, Value: "lookup 3"},
		{Key: "stallholders", Class: 0, Value: "order"},
	} {
		r.Deadline = now.Add(time.Second)
		q.Push(r, now)
	}
	for item, ok := q.Pop(now); ok; item, ok = q.Pop(now) {
		fmt.Println(item.Value)
	}
	// Output:
	// order
	// lookup 1
	// lookup 3
	// lookup 2
}

func TestServiceIsProportionalToWeight(t *testing.T) {
	q := queue.New[string, int](queue.Config{Classes: 1})
	served := make(map[string]int)
	for range 900 {
		push(q, "flood", 1, 0, start)
	}
	for range 100 {
		push(q, "small", 1, 0, start)
		push(q, "large", 2, 0, start)
		push(q, "large", 2, 0, start)
	}
	for range 200 {
		item, _ := q.Pop(start)
		served[item.Key()]++
	}
	if served["flood"] != 50 || served["small"] != 50 || served["large"] != 100 {
		t.Errorf("served by key: %v", served)
	}
}

func TestLowClassIsServedAfterAgingThreshold(t *testing.T) {
	q := queue.New[string, int](queue.Config{Classes: 2, AgingThreshold: time.Second})
	push(q, "low", 1, 1, start)
	now := start.Add(time.Second)
	for range 100 {
		push(q, "high", 1, 0, now)
	}
	for turn := range 100 {
		item, _ := q.Pop(now)
		if item.Key() == "low" {
			if turn >= 4 {
				t.Errorf("the request of the low class was served at turn %d", turn)
			}
			return
		}
	}
	t.Error("the request of the low class was not served")
}

func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	q := queue.New[string, int](queue.Config{Classes: 1})
	now := start
	for range 50 {
		push(q, "a", 1, 0, now)
	}
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		q.Pop(now)
	}
	urgent := request{Key: "a", Deadline: now.Add(100 * time.Millisecond)}
	if got := q.Push(urgent, now); got.Outcome != queue.TooLate {
		t.Errorf("30 waiting requests at 10 ms each and a deadline in 100 ms: %+v", got)
	}
	urgent.Key = "b"
	if got := q.Push(urgent, now); got.Outcome != queue.Accepted {
		t.Errorf("a request of another flow, which is served next: %+v", got)
	}
	now = now.Add(time.Minute)
	if expired := q.Expire(now); len(expired) != 1 {
		t.Errorf("%d expired", len(expired))
	}
	urgent = request{Key: "a", Deadline: now.Add(100 * time.Millisecond)}
	if got := q.Push(urgent, now); got.Outcome != queue.Accepted {
		t.Errorf("refused because of an outdated service interval: %+v", got)
	}
}

func TestFullQueueEvictsFromLongestFlow(t *testing.T) {
	q := queue.New[string, int](queue.Config{Classes: 1, MaxLength: 10})
	for range 10 {
		push(q, "flood", 1, 0, start)
	}
	if got := push(q, "flood", 1, 0, start); got.Outcome != queue.Full {
		t.Errorf("got %+v", got)
	}
	got := push(q, "small", 1, 0, start)
	if got.Outcome != queue.Accepted || got.Evicted == nil || got.Evicted.Key() != "flood" || q.Len() != 10 {
		t.Errorf("got %+v, length %d", got, q.Len())
	}
}

func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[string, int](queue.Config{Classes: 3, MaxLength: 20, AgingThreshold: 50 * time.Millisecond})
		waiting := make(map[int]*queue.Item[string, int])
		now, next := start, 0
		remove := func(item *queue.Item[string, int]) {
			if waiting[item.Value] != item {
				t.Fatalf("request %d left the queue twice", item.Value)
			}
			delete(waiting, item.Value)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				lifetime := rapid.IntRange(1, 200).Draw(t, "lifetime")
				pushed := q.Push(request{
					Key: key, Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Class: rapid.IntRange(0, 2).Draw(t, "class"),
					Deadline: now.Add(time.Duration(lifetime) * time.Millisecond), Value: next,
				}, now)
				if pushed.Evicted != nil {
					remove(pushed.Evicted)
				}
				if pushed.Outcome == queue.Accepted {
					waiting[next] = pushed.Item
				}
			},
			"pop": func(t *rapid.T) {
				item, ok := q.Pop(now)
				for _, expired := range q.Expire(now) {
					remove(expired)
				}
				if ok {
					remove(item)
				} else if len(waiting) > 0 {
					t.Fatalf("%d requests wait but none is served", len(waiting))
				}
			},
			"remove": func(t *rapid.T) {
				for _, item := range waiting {
					if !q.Remove(item) || q.Remove(item) {
						t.Fatal("a waiting request must be removed exactly once")
					}
					remove(item)
					break
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("length %d, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

func TestRetryBudgetIsProportionalToRequests(t *testing.T) {
	b := queue.NewRetryBudget(0.1, 2)
	retries := 0
	for range 100 {
		b.AddRequest()
		for b.TryRetry() {
			retries++
		}
	}
	// The budget is full at the first request, which adds nothing.
	if want := 2 + 99/10; retries != want {
		t.Errorf("%d retries for 100 requests, want %d", retries, want)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{100, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := queue.New[int, int](queue.Config{Classes: 3})
			deadline := start.Add(time.Hour)
			for i := range waiting {
				q.Push(queue.Request[int, int]{Key: i % 64, Class: i % 3, Deadline: deadline}, start)
			}
			b.ReportAllocs()
			for i := range b.N {
				q.Push(queue.Request[int, int]{Key: i % 64, Class: i % 3, Deadline: deadline}, start)
				q.Pop(start)
			}
		})
	}
}
