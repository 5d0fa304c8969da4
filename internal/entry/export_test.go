package entry

import (
	"time"

	"github.com/rs/zerolog"
)

// BufferedBytes returns the memory of buffered responses that counts toward their budget: the first
// uncountedResponseBytes of each do not.
func BufferedBytes(h *Handler) int64 { return h.responseMemory.Used() }

// MaintainPace runs the maintenance of the pace of endpoints once, as a process with the handler does each second.
func MaintainPace(h *Handler, log zerolog.Logger, now time.Time) {
	p := &Process{options: Options{State: h.options.State}, handler: h, metrics: h.options.Metrics, log: log}
	p.maintainPace(now)
}
