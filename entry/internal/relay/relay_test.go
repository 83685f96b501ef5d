package relay_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/entry/internal/relay"
)

func message(kind relay.Kind, body string) []byte {
	return append(relay.AppendHeader(nil, kind, len(body)), body...)
}

func batch(messages ...[]byte) []byte {
	var all []byte
	for _, m := range messages {
		all = append(all, m...)
	}
	return all
}

func kinds(t *testing.T, data []byte) string {
	t.Helper()
	var all string
	for len(data) > 0 {
		kind, _, rest, err := relay.Split(data)
		if err != nil {
			t.Fatal(err)
		}
		all += string(kind)
		data = rest
	}
	return all
}

func TestRewriterEnsuresStatementsArePrepared(t *testing.T) {
	var w relay.Rewriter
	var r relay.Request
	bind, execute, sync := message(relay.KindBind, "\x00s1\x00\x00\x00\x00\x00\x00\x00"), message(relay.KindExecute, "\x00\x00\x00\x00\x00"), message(relay.KindSync, "")
	for _, step := range []struct {
		name  string
		batch []byte
		kinds string
		needs bool
	}{
		{"prepare", batch(message(relay.KindParse, "s1\x00SELECT 1\x00\x00\x00"), message(relay.KindDescribe, "Ss1\x00"), sync), "PDS", true},
		{"use later", batch(bind, execute, sync), "eBES", true},
		{"use twice", batch(bind, execute, bind, execute, sync), "eBEBES", true},
		{"unnamed", batch(message(relay.KindParse, "\x00SELECT 2\x00\x00\x00"), message(relay.KindBind, "\x00\x00\x00\x00\x00\x00\x00\x00"), execute, sync), "PBES", true},
		{"unnamed later", batch(message(relay.KindBind, "\x00\x00\x00\x00\x00\x00\x00\x00"), execute, sync), "eBES", true},
		{"close", batch(message(relay.KindClose, "Ss1\x00"), sync), "CS", false},
	} {
		t.Run(step.name, func(t *testing.T) {
			if err := w.Rewrite(&r, step.batch); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(step.kinds, kinds(t, r.Data)); diff != "" || r.NeedsDatabase != step.needs || !r.EndsWithSync {
				t.Errorf("%s, needs %v, ends %v", diff, r.NeedsDatabase, r.EndsWithSync)
			}
		})
	}
	if err := w.Rewrite(&r, batch(bind, sync)); !errors.Is(err, relay.ErrUnknownStatement) {
		t.Errorf("bind to a closed statement: %v", err)
	}
}

func TestTransactionBoundaries(t *testing.T) {
	for text, want := range map[string]bool{
		"BEGIN": true, "begin;": true, " /* x */ Begin Isolation Level Serializable ; ": true, "START TRANSACTION READ ONLY": true,
		"begin; SELECT 1": false, "BEGINNING": false, "START": false, "": false, "SELECT 1": false, "-- begin\nSELECT 1": false,
	} {
		if got := relay.IsBegin([]byte(text)); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
	for text, want := range map[string]bool{
		"COMMIT": true, "rollback work;": true, "END": true, "abort transaction": true, "ROLLBACK TO a": false, "COMMIT; SELECT 1": false,
		"COMMIT PREPARED 'x'": false,
	} {
		if got := relay.IsEnd([]byte(text)); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}

func TestAnswerPlanDetectsUnexpectedMessages(t *testing.T) {
	var p relay.AnswerPlan
	for _, step := range []relay.Step{relay.StepLocalParse, relay.StepBind, relay.StepExecute, relay.StepSync} {
		p.Add(step)
	}
	if generated := p.AppendLocal(nil); len(generated) == 0 {
		t.Error("no generated ParseComplete")
	}
	for _, step := range []struct {
		kind relay.Kind
		want relay.Action
	}{
		{relay.KindBindComplete, relay.Relay},
		{relay.KindDataRow, relay.Relay},
		{relay.KindReadyForQuery, relay.Unexpected},
		{relay.KindCommandComplete, relay.Relay},
		{relay.KindReadyForQuery, relay.Relay},
		{relay.KindDataRow, relay.Unexpected},
	} {
		if got := p.Classify(step.kind); got != step.want {
			t.Errorf("%c: %v, want %v", step.kind, got, step.want)
		}
	}
	if !p.Done() {
		t.Error("the plan is not done")
	}
}

func TestAnswerPlanSkipsToSyncAfterError(t *testing.T) {
	var p relay.AnswerPlan
	for _, step := range []relay.Step{relay.StepParse, relay.StepBind, relay.StepExecute, relay.StepSync} {
		p.Add(step)
	}
	if p.Classify(relay.KindErrorResponse) != relay.Relay || p.Classify(relay.KindReadyForQuery) != relay.Relay || !p.Done() {
		t.Error("plan not done after an error and the next ReadyForQuery")
	}
}

func FuzzRewrite(f *testing.F) {
	f.Add(batch(message(relay.KindParse, "s1\x00SELECT 1\x00\x00\x00"), message(relay.KindBind, "\x00s1\x00\x00\x00\x00\x00\x00\x00"), message(relay.KindSync, "")))
	f.Add(message(relay.KindQuery, "BEGIN\x00"))
	f.Add(message(relay.KindQuery, "SELECT 'secret-key'\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w := relay.Rewriter{Key: []byte("secret-key")}
		var r relay.Request
		if w.Rewrite(&r, data) != nil {
			return
		}
		for rest := r.Data; len(rest) > 0; {
			var err error
			if _, _, rest, err = relay.Split(rest); err != nil {
				t.Fatalf("rewritten batch is malformed: %v", err)
			}
		}
	})
}
