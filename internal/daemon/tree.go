package daemon

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// NewTree returns the supervisor of a process, which restarts its services and logs their failures.
func NewTree(name string, log zerolog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(event suture.Event) {
		log.Error().Str("detail", event.String()).Msg("supervisor_event")
	}})
}

// Service is a suture.Service with a name that appears in the supervisor's events.
type Service struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String implements fmt.Stringer.
func (s Service) String() string { return s.Name }
