package published_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/published"
	"github.com/acacialift/acacialift/internal/testkit"
)

var start = time.Unix(1_000_000, 0)

// Guards against an aggregator's member that misses a change or a removal or applies an older state, when messages
// arrive out of order or more than once.
func TestPassedOnChangesAreComplete(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		aggregator, member := published.NewLog(), published.NewLog()
		state := make(map[string]int64)
		now := start
		revision := int64(1)
		var stale []published.Item
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "interval")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				revision++
				it := published.Item{Key: fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key")), Revision: revision}
				it.Removed = rapid.Bool().Draw(t, "removed")
				if it.Removed {
					delete(state, it.Key)
				} else {
					state[it.Key] = revision
				}
				aggregator.Put([]published.Item{it}, now)
				aggregator.Advance(revision, 0)
				stale = append(stale, it)
			case 2:
				passOn(aggregator, member)
			case 4:
				// The aggregator misses some changes and reads the whole state again.
				for range rapid.IntRange(0, 3).Draw(t, "missed") {
					revision++
					key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "missed key"))
					if rapid.Bool().Draw(t, "missed removal") {
						delete(state, key)
						continue
					}
					state[key] = revision
				}
				relist(aggregator, state, revision, now)
			case 3:
				// A delayed message arrives after newer ones.
				if len(stale) > 0 {
					member.Put([]published.Item{stale[rapid.IntRange(0, len(stale)-1).Draw(t, "delayed message")]}, start)
				}
			}
		}
		if !passOn(aggregator, member) {
			return
		}
		if got := content(member); !reflect.DeepEqual(got, state) {
			t.Fatalf("member has %v, the platform %v", got, state)
		}
	})
}

// relist has an aggregator read the whole state of the platform at a revision.
func relist(aggregator *published.Log, state map[string]int64, asOf int64, now time.Time) {
	var items []published.Item
	for key, revision := range state {
		items = append(items, published.Item{Key: key, Revision: revision})
	}
	for _, key := range aggregator.Keys(asOf) {
		if _, present := state[key]; !present {
			items = append(items, published.Item{Key: key, Revision: asOf, Removed: true})
		}
	}
	aggregator.Put(items, now)
	aggregator.Listed(asOf)
}

// passOn sends a member the changes that it does not have, and reports whether the aggregator still knew all of them.
func passOn(aggregator, member *published.Log) bool {
	after, _ := member.Position()
	update, complete := aggregator.UpdateAfter(after)
	if !complete {
		return false
	}
	// The member's removals do not expire here, so that its whole content can be read.
	position, confirmed := aggregator.Position()
	if update.Whole {
		member.Replace(update.Items, position)
	}
	member.Put(update.Items, start)
	member.Advance(position.Revision, confirmed)
	return true
}

// content returns the revision of each key that is present.
func content(l *published.Log) map[string]int64 {
	update, _ := l.UpdateAfter(published.Position{})
	state := make(map[string]int64)
	for _, it := range update.Items {
		if !it.Removed {
			state[it.Key] = it.Revision
		}
	}
	return state
}
