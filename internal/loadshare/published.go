package loadshare

import (
	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/published"
)

// positionOf returns the sender's position in what the platform has published.
func positionOf(m *peer.LoadShare) published.Position {
	return published.Position{Era: m.Extension.Era, Revision: m.Position}
}

func encodeItems(items []published.Item) []peer.PublishedItem {
	encoded := make([]peer.PublishedItem, 0, len(items))
	for _, it := range items {
		encoded = append(encoded, peer.PublishedItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed})
	}
	return encoded
}

func decodeItems(encoded []peer.PublishedItem, era int64) []published.Item {
	items := make([]published.Item, 0, len(encoded))
	for _, p := range encoded {
		items = append(items, published.Item{Key: p.Key, Value: p.Value, Revision: p.Revision, Removed: p.Removed, Era: era})
	}
	return items
}

// addPublished adds what a recipient needs after its position. It adds nothing if no message of the recipient has
// arrived yet.
func (s *Sharer) addPublished(message *peer.LoadShare, to recipient) {
	message.AgeMS = -1
	if s.options.Feed == nil || to.stamp == 0 {
		return
	}
	message.Echo = to.stamp
	position, confirmed := s.options.Feed.Position()
	update, complete := s.options.Feed.UpdateAfter(to.position)
	// The feed may have begun another era between the two calls. The next message then carries the content.
	if !complete || confirmed == 0 || update.Era != position.Era {
		return
	}
	message.Extension.Era, message.Position = position.Era, position.Revision
	// Rounded up, because AgeMS must not be less than the true age.
	message.AgeMS = (clock.Boot() - confirmed).Milliseconds() + 1
	message.Published, message.Extension.Whole, message.Extension.Unsettled = encodeItems(update.Items), update.Whole, confirmed < update.SettledFrom
}

// applyPublished applies the published changes in an aggregator's message. The aggregator sent the message after it
// had received the echoed stamp, hence its state was confirmed no earlier than that stamp less the stated age.
func (s *Sharer) applyPublished(m *peer.LoadShare) {
	if s.options.Feed == nil || m.AgeMS < 0 {
		return
	}
	echo, ok := s.echoIn(m)
	if !ok {
		return
	}
	update := published.Update{Items: decodeItems(m.Published, m.Extension.Era), Era: m.Extension.Era, Whole: m.Extension.Whole}
	confirmed := echo - peer.Milliseconds(m.AgeMS)
	if m.Extension.Unsettled {
		// The sender's platform is settled later than the time that the message confirms.
		update.SettledFrom = confirmed + 1
	}
	s.options.Feed.Accept(update, positionOf(m), confirmed)
}

// addRetained adds, to a message with periodic lists, what this instance retains from earlier eras if one of the recipients
// retains something else. A recipient of a later era needs nothing: it has read more than this instance.
func (s *Sharer) addRetained(message *peer.LoadShare, lists periodicLists, recipients ...recipient) {
	extension := &message.Extension
	if s.options.Feed == nil || !lists.due || extension.RetainedDigest == 0 {
		return
	}
	for _, to := range recipients {
		if to.position.Era <= extension.Era && to.retained != extension.RetainedDigest {
			extension.Retained = encodeRetained(s.options.Feed.Retained())
			return
		}
	}
}

func encodeRetained(items []published.Item, _ uint64) []peer.RetainedItem {
	encoded := make([]peer.RetainedItem, 0, len(items))
	for _, it := range items {
		encoded = append(encoded, peer.RetainedItem{
			Key: it.Key, Value: it.Value, Era: it.Era, Revision: it.Revision, Removed: it.Removed, Replaced: it.Replaced,
		})
	}
	return encoded
}

// applyRetained applies what the sender retains from earlier eras. It must be called before the published changes of the same
// message are applied: an instance that starts then never has the state of a copy in force that the sender knows to be outdated.
func (s *Sharer) applyRetained(m *peer.LoadShare) {
	if s.options.Feed == nil || len(m.Extension.Retained) == 0 {
		return
	}
	items := make([]published.Item, 0, len(m.Extension.Retained))
	for _, it := range m.Extension.Retained {
		items = append(items, published.Item{
			Key: it.Key, Value: it.Value, Era: it.Era, Revision: it.Revision, Removed: it.Removed, Replaced: it.Replaced,
		})
	}
	s.options.Feed.AcceptRetained(items)
}

func (s *Sharer) retainsItems() bool {
	if s.options.Feed == nil {
		return false
	}
	_, digest := s.options.Feed.Retained()
	return digest != 0
}
