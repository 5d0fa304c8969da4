package published

import "time"

// Position is a point in what the platform has published.
type Position struct {
	// Era counts how often the platform has come back from a copy. A copy lacks the latest changes, and their revisions are given
	// out again. Revisions therefore order the changes of one era only.
	Era      int64
	Revision int64
}

// Before reports whether p is an earlier point than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// Item is the latest state of one key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Removed is true if the key was removed at Revision.
	Removed bool
	// Era is the era in which the item was read.
	Era int64
	// Replaced is, in a removal, the revision of the item that was removed; 0 if it is not known.
	Replaced int64
}

// Position returns the point at which the item was published.
func (it Item) Position() Position { return Position{Era: it.Era, Revision: it.Revision} }

// Update is what an instance passes on to another one.
type Update struct {
	Items []Item
	// Era is the era of all items.
	Era int64
	// Whole is true if Items is the whole content, and false if it holds the changes after a position.
	Whole bool
	// SettledFrom is the boot-time of this instance from which on reads of the platform show all changes that were published before a
	// restoration; zero if there was none.
	SettledFrom time.Duration
}
