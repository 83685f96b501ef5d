package journal

import "time"

// MessageType is the type of a message between members.
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
	// MessageCampaign asks a member to start an election at once, because the leader hands over the leadership.
	MessageCampaign MessageType = "campaign"
)

// Timestamp is a time on the sending leader's clock, relative to the start of its Machine; receivers only echo it.
type Timestamp time.Duration

// Message is a message between members. Messages may be lost, duplicated, delayed or reordered.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	Term Term        `cbor:"4,keyasint"`
	// Index and LogTerm identify the entry before Entries, the last entry of a candidate, or the last entry of a snapshot.
	// In a reply, Index is the last entry known to match.
	Index   Index   `cbor:"5,keyasint,omitempty"`
	LogTerm Term    `cbor:"6,keyasint,omitempty"`
	Commit  Index   `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm tell the leader where the log of the rejecting member may still match.
	Hint     Index `cbor:"10,keyasint,omitempty"`
	HintTerm Term  `cbor:"11,keyasint,omitempty"`
	// Sent is when the leader sent this message, or the message that this one answers.
	Sent Timestamp `cbor:"12,keyasint,omitempty"`
	// Transfer marks vote requests of an election that the leader itself asked for.
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
