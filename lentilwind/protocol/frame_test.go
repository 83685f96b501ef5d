package protocol_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/protocol"
)

func TestReadFrameReturnsWrittenFrame(t *testing.T) {
	body, err := protocol.Encode(protocol.DrawRequest{Entry: "entry-1", Draws: []protocol.Draw{{Workspace: "w", Want: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	want := protocol.Frame{Version: protocol.Version, Kind: protocol.KindDraw, Sender: "entry-1", Incarnation: 7, ID: 9, Clock: 11, Body: body}
	var buf bytes.Buffer
	if err := protocol.WriteFrame(&buf, want); err != nil {
		t.Fatal(err)
	}
	got, err := protocol.ReadFrame(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against control processes that end at each start, because their journal holds a text that can be encoded but not decoded.
func TestTextOfAnyBytesIsReadBack(t *testing.T) {
	want := protocol.Announcement{Server: "i-\xff\xfe91c2", Service: "\x80", Address: "\xc3\x28"}
	data, err := protocol.EncodeStored(want)
	if err != nil {
		t.Fatal(err)
	}
	var got protocol.Announcement
	if err := protocol.Decode(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// nested encodes without a limit, but is decoded to a limited depth only.
type nested struct {
	Inner *nested `cbor:"1,keyasint,omitempty"`
}

// Guards against entries of a journal that none of its members can apply.
func TestBodyThatCannotBeReadBackIsNotStored(t *testing.T) {
	body := &nested{}
	for range 100 {
		body = &nested{Inner: body}
	}
	if _, err := protocol.EncodeStored(*body); !errors.Is(err, protocol.ErrMalformedFrame) {
		t.Errorf("got %v", err)
	}
	if _, err := protocol.EncodeStored(nested{Inner: &nested{}}); err != nil {
		t.Error(err)
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := protocol.ReadFrame(bytes.NewReader(data))
		if err == nil && frame.Version != protocol.Version {
			t.Errorf("accepted version %d", frame.Version)
		}
	})
}

func TestReadFrameRefusesOversizedLength(t *testing.T) {
	_, err := protocol.ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	if !errors.Is(err, protocol.ErrMalformedFrame) {
		t.Errorf("got %v", err)
	}
}
