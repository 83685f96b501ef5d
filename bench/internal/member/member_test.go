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

// submittedWrite is a write with the term and position that its primary assigned to it.
type submittedWrite struct {
	id           string
	term         group.Term
	position     group.Position
	acknowledged bool
}

// cluster holds three members; the address of each is its index.
type cluster struct {
	t       *rapid.T
	files   [members]*wal.MemoryFile
	logs    [members]*wal.Log
	members [members]*member.Member
	writes  []submittedWrite
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

func (c *cluster) drawMember(label string) int { return rapid.IntRange(0, members-1).Draw(c.t, label) }

func (c *cluster) crash(*rapid.T) {
	i := c.drawMember("crash")
	if err := c.logs[i].Close(); err != nil {
		c.t.Fatal(err)
	}
	c.open(i)
}

func (c *cluster) write(*rapid.T) {
	i := c.drawMember("writer")
	status := c.members[i].Status()
	id := fmt.Sprintf("w%d", len(c.writes))
	tx := c.members[i].Begin(id, "florists", time.Second)
	tx.AddOperation(member.Operation{Table: "journal", Identity: id, ID: id})
	position, err := tx.Commit(status.Term)
	if err != nil {
		return
	}
	c.writes = append(c.writes, submittedWrite{id: id, term: status.Term, position: position})
}

// replicate lets a member fetch some records from the primary that it follows.
func (c *cluster) replicate(*rapid.T) {
	i := c.drawMember("replica")
	source, request := c.members[i].JoinRequest()
	if source.Address == "" {
		return
	}
	number, _ := strconv.Atoi(source.Address)
	primary := c.members[number]
	reply, err := primary.JoinReply(request)
	if err != nil || c.members[i].Join(source, reply) != nil {
		return
	}
	batch, _, err := primary.NextBatch(source.Term, reply.CommonPosition)
	if err != nil {
		return
	}
	batch.Records = batch.Records[:rapid.IntRange(0, len(batch.Records)).Draw(c.t, "records")]
	if err := c.members[i].Receive(source, batch, time.Time{}, time.Time{}); err != nil {
		c.t.Fatal(err)
	}
}

// acknowledge marks the writes that a majority has received in their term.
func (c *cluster) acknowledge(*rapid.T) {
	for n := range c.writes {
		w := &c.writes[n]
		holders := 0
		for _, m := range c.members {
			if s := m.Status(); s.Term == w.term && s.FencedTerm == w.term && s.Received >= w.position {
				holders++
			}
		}
		w.acknowledged = w.acknowledged || holders >= majority
	}
}

// failOver starts a new term; it may stop before the promotion or before the other members follow.
func (c *cluster) failOver(*rapid.T) {
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
	c.checkAcknowledged(best)
	for i, m := range c.members {
		if i != best && rapid.Bool().Draw(c.t, "follows") {
			if _, err := m.Follow(c.term, strconv.Itoa(best)); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// checkAcknowledged checks that a new primary holds every acknowledged write.
func (c *cluster) checkAcknowledged(primary int) {
	var found []string
	for _, row := range c.members[primary].Begin("check", "florists", time.Second).Find("journal", nil) {
		found = append(found, row.ID)
	}
	for _, w := range c.writes {
		if w.acknowledged && !slices.Contains(found, w.id) {
			c.t.Fatalf("acknowledged write %+v is lost: %v", w, found)
		}
	}
}

// Guards against a failover to a member that lacks a write which a majority had received, also after crashes that lose state
// which a member reported before.
func TestAcknowledgedWritesSurviveFailovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"crash": c.crash, "write": c.write, "replicate": c.replicate, "replicateAgain": c.replicate,
			"acknowledge": c.acknowledge, "fail": c.failOver,
		})
		c.acknowledge(t)
		c.failOver(t)
		for _, log := range c.logs {
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
