package fleet

import "time"

// Evidence is what has shown that a state was the newest published one.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceList and EvidenceWatch are a list and a watch of the platform's store by this instance.
	EvidenceList  Evidence = "list"
	EvidenceWatch Evidence = "watch"
	// EvidenceRelay is a message of an instance that relays the changes of the store to this one.
	EvidenceRelay Evidence = "relay"
	// EvidencePeer is another instance that states when the catalog of this one was the newest. It shows nothing about endpoints.
	EvidencePeer Evidence = "peer"
)

// Confirmation states that a state was the newest published one at a time.
type Confirmation struct {
	// At is the boot-time (clock.Boot) as of which the state was the newest one. It is zero if nothing has shown that yet.
	At time.Duration
	// By is the evidence.
	By Evidence
	// Era is the era of the platform's store in which the evidence was found.
	Era int64
}

// Confirm records a confirmation of the whole state if it is later than the known ones.
func (s *State) Confirm(c Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.At > s.confirmed.At {
		s.confirmed = c
	}
}

// Confirmed returns the latest confirmation of the whole state.
func (s *State) Confirmed() Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// ConfirmCatalog records that no catalog above a version had been published as of a confirmation. It confirms the current catalog
// unless that one is older. Versions rise over all eras, so that this holds whatever the instance that states it has read since.
func (s *State) ConfirmCatalog(version int64, c Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot.Catalog == nil || s.snapshot.Catalog.Version < version {
		return
	}
	if c.At > s.catalogConfirmed.At {
		s.catalogConfirmed = c
	}
}

// ConfirmedSnapshot returns the current snapshot and the latest confirmation of its catalog. Reading the two one after the other
// could return an old snapshot with the confirmation of its successor.
func (s *State) ConfirmedSnapshot() (*Snapshot, Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.latestConfirmation()
}

// ConfirmedCatalog returns the version of the current catalog and its latest confirmation; zero values if there is no catalog.
func (s *State) ConfirmedCatalog() (version int64, c Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot.Catalog == nil {
		return 0, Confirmation{}
	}
	return s.snapshot.Catalog.Version, s.latestConfirmation()
}

func (s *State) latestConfirmation() Confirmation {
	if s.catalogConfirmed.At > s.confirmed.At {
		return s.catalogConfirmed
	}
	return s.confirmed
}
