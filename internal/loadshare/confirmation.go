package loadshare

import (
	"strconv"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/peer"
)

// wantedConfirmationAge is the age from which an instance asks the others for a later confirmation of its catalog. It is more than
// the time between two confirmations of an instance that reaches the platform.
const wantedConfirmationAge = 2500 * time.Millisecond

// CatalogState holds the local catalog. Its methods must not block.
type CatalogState interface {
	// ConfirmedCatalog returns the version of the catalog and its latest confirmation.
	ConfirmedCatalog() (version int64, confirmed fleet.Confirmation)
	// ConfirmCatalog records that no catalog above a version had been published as of a confirmation.
	ConfirmCatalog(version int64, confirmed fleet.Confirmation)
}

// wantsConfirmation reports whether this instance asks the others for a confirmation of its catalog.
func (s *Sharer) wantsConfirmation() bool {
	if s.options.Catalog == nil {
		return false
	}
	_, confirmed := s.options.Catalog.ConfirmedCatalog()
	return clock.Boot()-confirmed.At > wantedConfirmationAge
}

// addConfirmation adds the latest confirmation of the catalog to a message if one of the recipients wants it. A message to several
// recipients must hold their stamps already: the age must be taken after the stamps were received, since a receiver takes its stamp for the
// earliest time at which the age was taken.
func (s *Sharer) addConfirmation(message *peer.LoadShare, recipients ...recipient) {
	if s.options.Catalog == nil {
		return
	}
	for _, to := range recipients {
		if !to.wantsConfirmation {
			continue
		}
		version, confirmed := s.options.Catalog.ConfirmedCatalog()
		if confirmed.At > 0 {
			// Rounded up, because the age must not be less than the true one.
			age := (clock.Boot() - confirmed.At).Milliseconds() + 1
			message.Extension.Confirmed = &peer.ConfirmedCatalog{Version: version, AgeMS: age, Era: confirmed.Era}
		}
		return
	}
}

// echoesOf returns the stamps of the recipients that want a confirmation.
func echoesOf(group map[string]recipient) (echoes []peer.StampEcho) {
	for address, to := range group {
		if to.wantsConfirmation && to.stamp != 0 {
			echoes = append(echoes, peer.StampEcho{Address: address, Stamp: to.stamp})
		}
	}
	return echoes
}

// applyConfirmation applies the sender's confirmation of its catalog, which is no earlier than the echoed stamp less the stated age.
func (s *Sharer) applyConfirmation(m *peer.LoadShare) {
	stated := m.Extension.Confirmed
	if s.options.Catalog == nil || stated == nil {
		return
	}
	echo, ok := s.echoIn(m)
	if !ok {
		return
	}
	at := echo - peer.Milliseconds(stated.AgeMS)
	s.options.Catalog.ConfirmCatalog(stated.Version, fleet.Confirmation{At: at, By: fleet.EvidencePeer, Era: stated.Era})
}

// echoIn returns the latest stamp of this instance that the sender of a message had received; false if the message states none that
// this instance can have sent.
func (s *Sharer) echoIn(m *peer.LoadShare) (time.Duration, bool) {
	echo := m.Echo
	for _, e := range m.Extension.Echoes {
		if e.Address == s.options.Address {
			echo = e.Stamp
		}
	}
	if echo == 0 {
		return 0, false
	}
	if echo < 0 || echo > int64(clock.Boot()) {
		// This instance has not sent the stamp since its machine was started. It may have sent it before.
		s.logInvalid(m.Address, peer.Invalid{Count: 1, First: "echo", Value: strconv.FormatInt(echo, 10)})
		return 0, false
	}
	return time.Duration(echo), true
}
