package journal

import "time"

// MessageType names a type of message between members.
type MessageType string

// The types of messages.
const (
	MessagePreVote      MessageType = "preVote"
	MessagePreVoteReply MessageType = "preVoteReply"
	MessageVote         MessageType = "vote"
	MessageVoteReply    MessageType = "voteReply"
	MessageAppend       MessageType = "append"
	MessageAppendReply  MessageType = "appendReply"
	MessageSnapshot     MessageType = "snapshot"
	MessageSnapshotNext MessageType = "snapshotNext"
	// MessageCampaign asks a member to take over from the leader at once.
	MessageCampaign MessageType = "campaign"
)

// Timestamp is a time on the clock of the leader that sent it; others only echo it.
type Timestamp time.Duration

// Message is one message between members; it may be lost, repeated or late.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	Term Term        `cbor:"4,keyasint"`
	// Index and LogTerm name the entry before Entries, a candidate's last entry, or the end of a snapshot; a reply
	// carries the last entry that is known to match.
	Index   Index   `cbor:"5,keyasint,omitempty"`
	LogTerm Term    `cbor:"6,keyasint,omitempty"`
	Commit  Index   `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm tell a leader where a rejecting member's log may still match.
	Hint     Index `cbor:"10,keyasint,omitempty"`
	HintTerm Term  `cbor:"11,keyasint,omitempty"`
	// Sent is when the leader sent the message that this one is or answers.
	Sent Timestamp `cbor:"12,keyasint,omitempty"`
	// Transfer marks votes that the leader itself asked for.
	Transfer bool   `cbor:"13,keyasint,omitempty"`
	Chunk    *Chunk `cbor:"14,keyasint,omitempty"`
}

// Chunk is a part of a snapshot; a request for the next part has no data.
type Chunk struct {
	Offset     int        `cbor:"1,keyasint"`
	Total      int        `cbor:"2,keyasint,omitempty"`
	Data       []byte     `cbor:"3,keyasint,omitempty"`
	Membership Membership `cbor:"4,keyasint,omitempty"`
}
