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

// Guards against a member of a hub that misses a change or a removal, or takes an older state over, whatever is passed on
// in whichever order and however often.
func TestPassedOnChangesAreComplete(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		hub, member := published.NewLog(), published.NewLog()
		state := make(map[string]int64)
		now := start
		revision := int64(1)
		var stale []published.Item
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				revision++
				it := published.Item{Key: fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key")), Revision: revision}
				it.Removed = rapid.Bool().Draw(t, "removed")
				if it.Removed {
					delete(state, it.Key)
				} else {
					state[it.Key] = revision
				}
				hub.Put([]published.Item{it}, now)
				hub.Advance(revision, 0)
				stale = append(stale, it)
			case 2:
				passOn(hub, member)
			case 4:
				// The hub misses some changes and reads everything again.
				for range rapid.IntRange(0, 3).Draw(t, "missed") {
					revision++
					key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "missed key"))
					if rapid.Bool().Draw(t, "missed removal") {
						delete(state, key)
						continue
					}
					state[key] = revision
				}
				relist(hub, state, revision, now)
			case 3:
				// A message that was held up arrives after newer ones.
				if len(stale) > 0 {
					member.Put([]published.Item{stale[rapid.IntRange(0, len(stale)-1).Draw(t, "held up")]}, start)
				}
			}
		}
		if !passOn(hub, member) {
			return
		}
		if got := content(member); !reflect.DeepEqual(got, state) {
			t.Fatalf("member has %v, the platform %v", got, state)
		}
	})
}

// relist lets a hub read the whole state of the platform at a revision.
func relist(hub *published.Log, state map[string]int64, asOf int64, now time.Time) {
	var items []published.Item
	for key, revision := range state {
		items = append(items, published.Item{Key: key, Revision: revision})
	}
	for _, key := range hub.Keys(asOf) {
		if _, present := state[key]; !present {
			items = append(items, published.Item{Key: key, Revision: asOf, Removed: true})
		}
	}
	hub.Put(items, now)
	hub.Listed(asOf)
}

// passOn passes on what a member lacks, and reports whether the hub still knew all of it.
func passOn(hub, member *published.Log) bool {
	after, _ := member.Position()
	items, whole := hub.Since(after)
	if !whole {
		return false
	}
	// The member's removals do not expire here, so that its whole content can be read.
	member.Put(items, start)
	asOf, confirmed := hub.Position()
	member.Advance(asOf, confirmed)
	return true
}

// content returns the revision of each key that is present.
func content(l *published.Log) map[string]int64 {
	items, _ := l.Since(0)
	state := make(map[string]int64)
	for _, it := range items {
		if !it.Removed {
			state[it.Key] = it.Revision
		}
	}
	return state
}
