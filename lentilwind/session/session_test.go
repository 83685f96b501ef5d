package session_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/session"
)

func newSigner(t testing.TB, secrets ...string) *session.Signer {
	t.Helper()
	var all [][]byte
	for _, secret := range secrets {
		all = append(all, []byte(secret))
	}
	signer, err := session.NewSigner(all...)
	if err != nil {
		t.Fatal(err)
	}
	return signer
}

const (
	newSecret = "the newer secret"
	oldSecret = "the older secret"
)

func states(workspace inventory.WorkspaceName, maxFloors int) *rapid.Generator[session.State] {
	return rapid.Custom(func(t *rapid.T) session.State {
		state := session.State{Workspace: workspace, Floors: make(map[group.ID]group.Floor)}
		for range rapid.IntRange(0, maxFloors).Draw(t, "floors") {
			id := group.ID{
				Service: group.Service(rapid.StringMatching(`[a-z0-9-]{1,63}`).Draw(t, "service")),
				Slot:    group.Slot(rapid.Uint16().Draw(t, "slot")),
			}
			state.Raise(id, group.Floor{
				Term: group.Term(rapid.Uint64().Draw(t, "term")), Position: group.Position(rapid.Uint64().Draw(t, "position")),
			})
		}
		return state
	})
}

func TestVerifyReturnsSignedState(t *testing.T) {
	signer, rotated := newSigner(t, oldSecret), newSigner(t, newSecret, oldSecret)
	rapid.Check(t, func(t *rapid.T) {
		state := states("florists", 12).Draw(t, "state")
		token := signer.Sign(state)
		if len(token) > session.MaxTokenBytes {
			t.Fatalf("token of %d bytes", len(token))
		}
		got, err := rotated.Verify(token, "florists")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(state, got); diff != "" {
			t.Fatalf("the state changed:\n%s", diff)
		}
	})
}

// A floor that does not fit into the token must be reported as unknown; otherwise the group would be taken for one that the
// session has never written.
func TestTruncatedStateIsMarkedPartial(t *testing.T) {
	signer := newSigner(t, oldSecret)
	rapid.Check(t, func(t *rapid.T) {
		state := states("florists", 120).Draw(t, "state")
		got, err := signer.Verify(signer.Sign(state), "florists")
		if err != nil {
			t.Fatal(err)
		}
		for id, want := range state.Floors {
			if floor, known := got.Floor(id); known && floor != want {
				t.Fatalf("%s: got %+v, want %+v", id, floor, want)
			}
		}
	})
}

func TestVerifyRefusesModifiedToken(t *testing.T) {
	signer := newSigner(t, oldSecret)
	rapid.Check(t, func(t *rapid.T) {
		token := []byte(signer.Sign(states("florists", 6).Draw(t, "state")))
		at := rapid.IntRange(0, len(token)-1).Draw(t, "at")
		changed := rapid.Byte().Filter(func(b byte) bool { return b != token[at] }).Draw(t, "byte")
		token[at] = changed
		if _, err := signer.Verify(string(token), "florists"); !errors.Is(err, session.ErrToken) {
			t.Fatalf("modified token: %v", err)
		}
	})
	if _, err := newSigner(t, newSecret).Verify(signer.Sign(session.State{}), ""); !errors.Is(err, session.ErrToken) {
		t.Errorf("token signed with another secret: %v", err)
	}
}

func FuzzVerify(f *testing.F) {
	signer := newSigner(f, oldSecret)
	f.Add(signer.Sign(session.State{Workspace: "florists"}), "florists")
	f.Fuzz(func(t *testing.T, token, workspace string) {
		state, err := signer.Verify(token, inventory.WorkspaceName(workspace))
		if err == nil && signer.Sign(state) != token {
			t.Errorf("accepted a token that was not signed with this secret: %q", token)
		}
	})
}
