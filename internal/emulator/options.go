package emulator

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Options describes a run.
type Options struct {
	Engine fleet.Engine
	// Chunk is the number of prompt tokens that an engine prefills in a step.
	Chunk     int64
	Endpoints int
	Instances int
	// ShareInterval is the time between two load messages of an instance; the default is 60 ms.
	ShareInterval time.Duration
	// Shards is the number of shards of the endpoints; one scheduler per shard places its requests. With zero shards,
	// each instance places its requests by the load counts that it has.
	Shards int
	// Queue lets the schedulers have wait queues.
	Queue bool
	// ReturnTimes lets refusals take their return times from schedules.
	ReturnTimes bool
	Outage      Outage
	Load        Load
	Policy      Policy
	Seed        uint64
	PaceOptions
}
