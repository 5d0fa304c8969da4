package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/operators"
	"github.com/acacialift/acacialift/internal/standin"
)

// Status asks all instances for their reports.
func (f *Fleet) Status(ctx context.Context) []operators.Response {
	return f.operators.StatusOfAll(ctx, f.List.Instances)
}

// WaitForOwners waits until each endpoint that accepts work has free streams at its owner on every instance's board.
func (f *Fleet) WaitForOwners(ctx context.Context) error {
	return f.waitUntil(ctx, func(ctx context.Context) string { return missingOwner(f.Status(ctx)) })
}

// WaitForRevision waits until all instances have the published revision.
func (f *Fleet) WaitForRevision(ctx context.Context) error {
	return f.waitUntil(ctx, func(ctx context.Context) string {
		for _, answer := range f.Status(ctx) {
			if answer.Err != nil {
				return answer.Err.Error()
			}
			if answer.Report.Config.Revision < f.Document.Revision {
				return fmt.Sprintf("%s has revision %d", answer.Instance.Name, answer.Report.Config.Revision)
			}
		}
		return ""
	})
}

// waitUntil repeats a check until it returns an empty reason.
func (f *Fleet) waitUntil(ctx context.Context, check func(context.Context) string) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for {
		reason := check(ctx)
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ctx.Err(), reason)
		case <-time.After(ownerCheckInterval):
		}
	}
}

func missingOwner(answers []operators.Response) string {
	for _, answer := range answers {
		if answer.Err != nil {
			return fmt.Sprintf("%s: %v", answer.Instance.Name, answer.Err)
		}
		if len(answer.Report.Endpoints) == 0 {
			return answer.Instance.Name + " knows no endpoints"
		}
		for _, endpoint := range answer.Report.Endpoints {
			if endpoint.AcceptsWork && (endpoint.Owner == "" || endpoint.FreeStreams == 0) {
				return fmt.Sprintf("%s sees no free stream of %s (owner %q)", answer.Instance.Name, endpoint.Name, endpoint.Owner)
			}
		}
	}
	return ""
}

// Publish edits the configuration and puts its next revision on the platform.
func (f *Fleet) Publish(ctx context.Context, edit func(*config.Document)) error {
	edit(&f.Document)
	f.Document.Revision++
	data, err := yaml.Marshal(f.Document)
	if err != nil {
		return err
	}
	return f.post(ctx, fmt.Sprintf("http://%s/control/config?revision=%d", f.Control, f.Document.Revision), data)
}

// ControlEngine changes the state or the faults of an engine stand-in.
func (f *Fleet) ControlEngine(ctx context.Context, endpoint config.Endpoint, control standin.Control) error {
	data, err := json.Marshal(control)
	if err != nil {
		return err
	}
	return f.post(ctx, "http://"+endpoint.Address+"/standin/control", data)
}

// EngineStats reads the counts of an engine stand-in.
func (f *Fleet) EngineStats(ctx context.Context, endpoint config.Endpoint) (standin.EngineStats, error) {
	return f.readStats(ctx, endpoint, "/standin/stats")
}

// EngineCounts reads the counts of an engine stand-in without the executions of each request.
func (f *Fleet) EngineCounts(ctx context.Context, endpoint config.Endpoint) (standin.EngineStats, error) {
	return f.readStats(ctx, endpoint, "/standin/stats?brief")
}

func (f *Fleet) readStats(ctx context.Context, endpoint config.Endpoint, path string) (standin.EngineStats, error) {
	var stats standin.EngineStats
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+path, nil)
	if err != nil {
		return stats, err
	}
	data, err := f.do(request)
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(data, &stats)
}

func (f *Fleet) post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = f.do(request)
	return err
}

func (f *Fleet) do(request *http.Request) ([]byte, error) {
	response, err := f.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.New(request.URL.String() + " answered " + response.Status + ": " + string(data))
	}
	return data, nil
}
