package route

import "time"

const (
	// prefixRetention is the time after which an engine has probably evicted a prefix from its cache.
	prefixRetention = 5 * time.Minute
	// maxPrefixes bounds the memory that the table uses in a gateway.
	maxPrefixes = 4096
)

type prefixKey struct {
	prefix   uint64
	endpoint string
}

type prefixEntry struct {
	tokens int64
	at     time.Time
}

// Prefixes records which endpoints have recently computed which prompt prefixes for requests of this gateway. It does not
// use the engines' cache events, because they arrive late and incompletely.
type Prefixes struct {
	entries map[prefixKey]prefixEntry
}

// NewPrefixes returns an empty table.
func NewPrefixes() *Prefixes { return &Prefixes{entries: make(map[prefixKey]prefixEntry)} }

// Note records that an endpoint has computed a prefix of the given length.
func (p *Prefixes) Note(now time.Time, prefix uint64, endpoint string, tokens int64) {
	key := prefixKey{prefix, endpoint}
	if _, known := p.entries[key]; !known && len(p.entries) >= maxPrefixes {
		p.evict(now)
	}
	p.entries[key] = prefixEntry{tokens, now}
}

// Cached returns the length in tokens of the prefix if the endpoint probably has it in its cache, or 0.
func (p *Prefixes) Cached(now time.Time, prefix uint64, endpoint string) int64 {
	entry, known := p.entries[prefixKey{prefix, endpoint}]
	if !known || now.Sub(entry.at) > prefixRetention {
		return 0
	}
	return entry.tokens
}

// Forget deletes the entries of an endpoint whose engine has restarted, because its cache is empty.
func (p *Prefixes) Forget(endpoint string) {
	for key := range p.entries {
		if key.endpoint == endpoint {
			delete(p.entries, key)
		}
	}
}

// evict deletes all expired entries, or an arbitrary one if none has expired.
func (p *Prefixes) evict(now time.Time) {
	var last prefixKey
	expired := 0
	for key, entry := range p.entries {
		if now.Sub(entry.at) > prefixRetention {
			delete(p.entries, key)
			expired++
		}
		last = key
	}
	if expired == 0 {
		delete(p.entries, last)
	}
}
