package member_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/bench/internal/wal"
	"lentilwind.dev/lentilwind/group"
)

const (
	members  = 3
	majority = 2
)

// written is a write with the term and position that its primary gave it.
type written struct {
	id       string
	term     group.Term
	position group.Position
	acked    bool
}

// cluster is three members whose addresses are their numbers.
type cluster struct {
	t       *rapid.T
	files   [members]*wal.MemoryFile
	logs    [members]*wal.Log
	members [members]*member.Member
	writes  []written
	term    group.Term
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, term: member.FirstTerm}
	for i := range members {
		c.files[i] = &wal.MemoryFile{}
		c.open(i)
	}
	return c
}

func (c *cluster) open(i int) {
	log, entries, err := wal.Open(c.files[i])
	if err != nil {
		c.t.Fatal(err)
	}
	m, err := member.New(0, log, entries, member.InitialConfig{Primary: i == 0, Address: "0"})
	if err != nil {
		c.t.Fatal(err)
	}
	c.logs[i], c.members[i] = log, m
}

func (c *cluster) any(label string) int { return rapid.IntRange(0, members-1).Draw(c.t, label) }

func (c *cluster) crash(*rapid.T) {
	i := c.any("crash")
	if err := c.logs[i].Close(); err != nil {
		c.t.Fatal(err)
	}
	c.open(i)
}

func (c *cluster) write(*rapid.T) {
	i := c.any("writer")
	status := c.members[i].Status()
	id := fmt.Sprintf("w%d", len(c.writes))
	tx := c.members[i].Begin(id, "florists", time.Second)
	tx.AddOperation(member.Operation{Table: "journal", Identity: id, ID: id})
	position, err := tx.Commit(status.Term)
	if err != nil {
		return
	}
	c.writes = append(c.writes, written{id: id, term: status.Term, position: position})
}

// replicate lets a member fetch a few records from the primary that it follows.
func (c *cluster) replicate(*rapid.T) {
	i := c.any("replica")
	target, hello := c.members[i].JoinRequest()
	if target.Address == "" {
		return
	}
	number, _ := strconv.Atoi(target.Address)
	primary := c.members[number]
	welcome, err := primary.JoinReply(hello)
	if err != nil || c.members[i].Join(target, welcome) != nil {
		return
	}
	batch, _, err := primary.NextBatch(target.Term, welcome.CommonPosition)
	if err != nil {
		return
	}
	batch.Records = batch.Records[:rapid.IntRange(0, len(batch.Records)).Draw(c.t, "records")]
	if err := c.members[i].Receive(target, batch, time.Time{}, time.Time{}); err != nil {
		c.t.Fatal(err)
	}
}

// acknowledge marks the writes that a majority holds in their term.
func (c *cluster) acknowledge(*rapid.T) {
	for n := range c.writes {
		w := &c.writes[n]
		holders := 0
		for _, m := range c.members {
			if s := m.Status(); s.Term == w.term && s.FencedTerm == w.term && s.Received >= w.position {
				holders++
			}
		}
		w.acked = w.acked || holders >= majority
	}
}

// fail begins a new term; it may end before the promotion or before the others follow.
func (c *cluster) fail(*rapid.T) {
	c.term++
	order := rapid.Permutation([]int{0, 1, 2}).Draw(c.t, "order")
	fenced := order[:rapid.IntRange(1, members).Draw(c.t, "fenced")]
	best, bestStatus := -1, group.Status{}
	for _, i := range fenced {
		status, err := c.members[i].Fence(c.term)
		if err != nil {
			c.t.Fatal(err)
		}
		newer := status.Term > bestStatus.Term || status.Term == bestStatus.Term && status.Received > bestStatus.Received
		if best < 0 || newer {
			best, bestStatus = i, status
		}
	}
	if len(fenced) < majority {
		return
	}
	if _, err := c.members[best].Promote(c.term, bestStatus.Received); err != nil {
		c.t.Fatal(err)
	}
	c.check(best)
	for i, m := range c.members {
		if i != best && rapid.Bool().Draw(c.t, "follows") {
			if _, err := m.Follow(c.term, strconv.Itoa(best)); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// check finds every acknowledged write once on a new primary.
func (c *cluster) check(primary int) {
	var found []string
	for _, row := range c.members[primary].Begin("check", "florists", time.Second).Find("journal", nil) {
		found = append(found, row.ID)
	}
	for _, w := range c.writes {
		if w.acked && !slices.Contains(found, w.id) {
			c.t.Fatalf("acknowledged write %+v is lost: %v", w, found)
		}
	}
}

func TestAcknowledgedWritesOutliveFailovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"crash": c.crash, "write": c.write, "replicate": c.replicate, "replicateAgain": c.replicate,
			"acknowledge": c.acknowledge, "fail": c.fail,
		})
		c.acknowledge(t)
		c.fail(t)
		for _, log := range c.logs {
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
