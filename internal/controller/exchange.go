package controller

import (
	"context"

	"github.com/acacialift/acacialift/internal/engine"
)

// countingExchange sends requests to the platform and counts them as platform reads.
type countingExchange struct{ controller *Controller }

// Do implements platform.Exchange.
func (e countingExchange) Do(
	ctx context.Context, req engine.Request, beforeWrite func() error, receiver engine.Receiver,
) error {
	e.controller.count(platformReads)
	return e.controller.engines.Do(ctx, req, beforeWrite, receiver)
}
