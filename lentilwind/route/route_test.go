package route_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/route"
)

var epoch = time.Unix(1000, 0)

func TestParseComment(t *testing.T) {
	for _, test := range []struct {
		sql  string
		want route.Hints
	}{
		{"SELECT 1", route.Hints{}},
		{"/*route='a'*/ SELECT 1", route.Hints{Route: "a"}},
		{" \n/* route = 'a' , key = 'b' , traceparent='00-1' */ SELECT 1", route.Hints{Route: "a", Key: "b"}},
		{"/*key='a%20b%27c'*/", route.Hints{Key: "a b'c"}},
		{`/*key='it\'s'*/`, route.Hints{Key: "it's"}},
		{"/*route='a',route='b'*/ SELECT 1", route.Hints{}},
		{"/*route='a'", route.Hints{}},
		{"/*route='a' /* */ */ SELECT 1", route.Hints{}},
		{"/*route='a';key='b'*/ SELECT 1", route.Hints{}},
		{"/*route='%zz'*/ SELECT 1", route.Hints{}},
		{"SELECT 1 /*route='a'*/", route.Hints{}},
		{"-- x\n/*route='a'*/ SELECT 1", route.Hints{}},
	} {
		if got := route.ParseComment(test.sql); got != test.want {
			t.Errorf("%q: got %+v, want %+v", test.sql, got, test.want)
		}
	}
}

func FuzzParseComment(f *testing.F) {
	f.Add("/*route='lookup',key='17'*/ SELECT 1")
	f.Add(`/*key='\'%41'*/`)
	f.Fuzz(func(_ *testing.T, sql string) { route.ParseComment(sql) })
}

// drawView generates a view of three members with arbitrary samples.
func drawView(t *rapid.T) *route.View {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	view := &route.View{Term: 2, Primary: "a", TermConfirmedAt: epoch.Add(-ms("current", 1000))}
	for _, server := range []group.Server{"a", "b", "c"} {
		view.Members = append(view.Members, route.Member{
			Server: server, Usable: rapid.Bool().Draw(t, "usable"), Distance: route.Distance(rapid.IntRange(0, 2).Draw(t, "distance")),
			ExpectedWait: ms("wait", 50), Sample: confirm.StatusSample{
				SentAt: epoch.Add(-ms("start", 1000)),
				Status: group.Status{
					Term: group.Term(rapid.IntRange(1, 3).Draw(t, "term")), Applied: group.Position(rapid.IntRange(0, 9).Draw(t, "applied")),
					Lag: ms("age", 1000),
				},
			},
		})
	}
	return view
}

// A chosen replica must satisfy the floor in the view's term, and the choice must expire before the replica's state exceeds the
// allowed staleness.
func TestChooseReplicaSatisfiesFloorAndStaleness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		request := route.Request{
			MaxStaleness: time.Duration(rapid.IntRange(0, 1500).Draw(t, "staleness")) * time.Millisecond,
			Floor: group.Floor{
				Term: group.Term(rapid.IntRange(0, 3).Draw(t, "floorTerm")), Position: group.Position(rapid.IntRange(0, 9).Draw(t, "position")),
			},
		}
		choice := route.Choose(route.DefaultPolicy, view, &request, epoch)
		if choice.Decision != route.Replica {
			return
		}
		for _, m := range view.Members {
			if m.Server != choice.Server {
				continue
			}
			s := m.Sample.Status
			if s.Term != view.Term || !request.Floor.SatisfiedBy(s) || !m.Usable || m.Server == view.Primary {
				t.Fatalf("member %+v must not serve request %+v", m, request)
			}
			freshAt := m.Sample.SentAt.Add(-s.Lag)
			if view.TermConfirmedAt.Before(freshAt) {
				freshAt = view.TermConfirmedAt
			}
			if choice.Until.Sub(freshAt) > request.MaxStaleness || !choice.Until.After(epoch) {
				t.Fatalf("the answer may be %v stale, allowed is %v", choice.Until.Sub(freshAt), request.MaxStaleness)
			}
		}
	})
}

func BenchmarkParseComment(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		route.ParseComment("/*route='order',key='pallet-7'*/ UPDATE crates SET n = n - 1 WHERE id = $1")
	}
}

func BenchmarkChoose(b *testing.B) {
	view := &route.View{Term: 2, Primary: "a", TermConfirmedAt: epoch}
	for _, server := range []group.Server{"a", "b", "c"} {
		view.Members = append(view.Members, route.Member{
			Server: server, Usable: true, Sample: confirm.StatusSample{SentAt: epoch, Status: group.Status{Term: 2, Applied: 9}},
		})
	}
	request := &route.Request{MaxStaleness: time.Second, Floor: group.Floor{Term: 2, Position: 9}}
	b.ReportAllocs()
	for b.Loop() {
		if route.Choose(route.DefaultPolicy, view, request, epoch).Decision != route.Replica {
			b.Fatal("no replica was chosen")
		}
	}
}
