package succession_test

import (
	"testing"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/succession"
)

func candidate(server group.Server, term group.Term, position group.Position) succession.Candidate {
	return succession.Candidate{Server: server, Answered: true, Received: group.Floor{Term: term, Position: position}}
}

func silent(server group.Server) succession.Candidate { return succession.Candidate{Server: server} }

func busy(server group.Server, term group.Term, position group.Position) succession.Candidate {
	c := candidate(server, term, position)
	c.AtLeast = true
	return c
}

func TestChooseSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		newest     group.Term
		ordered    succession.Order
		candidates []succession.Candidate
		want       group.Server
	}{
		"nobody answers":                                     {2, succession.Order{}, []succession.Candidate{silent("a"), silent("b")}, ""},
		"no candidate":                                       {2, succession.Order{}, nil, ""},
		"the longest log wins":                               {2, succession.Order{}, []succession.Candidate{candidate("a", 2, 7), candidate("b", 2, 9), silent("c")}, "b"},
		"a newer term wins over a longer log":                {2, succession.Order{}, []succession.Candidate{candidate("a", 1, 99), candidate("b", 2, 9), silent("c")}, "b"},
		"the newest log may come back":                       {2, succession.Order{}, []succession.Candidate{candidate("a", 1, 99), silent("b"), silent("c")}, ""},
		"the newest log is gone for good":                    {2, succession.Order{}, []succession.Candidate{candidate("a", 1, 99), candidate("b", 1, 98)}, "a"},
		"a term that control has not seen yet":               {2, succession.Order{}, []succession.Candidate{candidate("a", 3, 5), silent("b")}, "a"},
		"the ordered server may lead a term that nobody saw": {1, succession.Order{Server: "b", After: 1}, []succession.Candidate{candidate("a", 1, 9), silent("b")}, ""},
		"the ordered server has led no newer term":           {1, succession.Order{Server: "b", After: 1}, []succession.Candidate{candidate("a", 1, 9), candidate("b", 1, 7), silent("c")}, "a"},
		"the ordered server is gone for good":                {1, succession.Order{Server: "b", After: 1}, []succession.Candidate{candidate("a", 1, 9), silent("c")}, "a"},
		"another log has the term of the order":              {1, succession.Order{Server: "b", After: 1}, []succession.Candidate{candidate("a", 2, 3), silent("b")}, "a"},
		"a designated server was not ordered to lead":        {0, succession.Order{Server: "b"}, []succession.Candidate{candidate("a", 0, 0), silent("b")}, "a"},
		"a lower bound above every other log":                {2, succession.Order{}, []succession.Candidate{candidate("a", 2, 9), busy("b", 2, 9)}, "b"},
		"the newest term may be behind a lower bound":        {2, succession.Order{}, []succession.Candidate{candidate("a", 1, 9), busy("b", 1, 7)}, ""},
		"the ordered server reports only a lower bound":      {1, succession.Order{Server: "b", After: 1}, []succession.Candidate{candidate("a", 1, 9), busy("b", 1, 7)}, ""},
		"of equal logs the ordered server's":                 {1, succession.Order{Server: "b", After: 1}, []succession.Candidate{candidate("a", 1, 9), candidate("b", 1, 9)}, "b"},
		"of equal logs the one that answered first":          {1, succession.Order{}, []succession.Candidate{candidate("b", 1, 9), candidate("a", 1, 9)}, "b"},
		"no primary was seen":                                {0, succession.Order{}, []succession.Candidate{candidate("a", 1, 5), silent("b")}, "a"},
	} {
		best, found := succession.ChooseSuccessor(test.newest, test.ordered, test.candidates)
		if best.Server != test.want || found != (test.want != "") {
			t.Errorf("%s: %q was chosen, want %q", name, best.Server, test.want)
		}
	}
}

// Guards against a choice that takes the lower bound of a log for its end.
func TestMayBeNewer(t *testing.T) {
	a, b := candidate("a", 1, 9), busy("b", 1, 7)
	for name, test := range map[string]struct {
		chosen     succession.Candidate
		candidates []succession.Candidate
		want       bool
	}{
		"all ends are known":           {a, []succession.Candidate{a, candidate("b", 1, 7), silent("c")}, false},
		"another log has no known end": {a, []succession.Candidate{a, b}, true},
		"only the chosen log has none": {b, []succession.Candidate{b, candidate("a", 1, 7)}, false},
	} {
		if got := succession.MayBeNewer(test.chosen, test.candidates); got != test.want {
			t.Errorf("%s: got %t", name, got)
		}
	}
}
