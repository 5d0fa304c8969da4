package route

import "time"

const (
	// prefixMemory is the time after which an engine has probably dropped a prefix from its limited cache.
	prefixMemory = 5 * time.Minute
	// maxPrefixes bounds the memory of a gateway; a full table forgets an arbitrary entry.
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

// Prefixes remembers which endpoints have recently computed which prompt prefixes, from the gateway's own requests. The
// engines' cache events arrive late and with gaps, so they are not relied on.
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

// Cached returns the number of tokens of the prefix that the endpoint probably has in its cache.
func (p *Prefixes) Cached(now time.Time, prefix uint64, endpoint string) int64 {
	entry, known := p.entries[prefixKey{prefix, endpoint}]
	if !known || now.Sub(entry.at) > prefixMemory {
		return 0
	}
	return entry.tokens
}

// Forget drops what is known about an endpoint whose engine has restarted.
func (p *Prefixes) Forget(endpoint string) {
	for key := range p.entries {
		if key.endpoint == endpoint {
			delete(p.entries, key)
		}
	}
}

// evict deletes expired entries, or any one if none has expired.
func (p *Prefixes) evict(now time.Time) {
	var victim prefixKey
	expired := 0
	for key, entry := range p.entries {
		if now.Sub(entry.at) > prefixMemory {
			delete(p.entries, key)
			expired++
		}
		victim = key
	}
	if expired == 0 {
		delete(p.entries, victim)
	}
}
