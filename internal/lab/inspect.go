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

// Status requests the status reports of all instances.
func (f *Fleet) Status(ctx context.Context) []operators.Response {
	return f.operators.StatusOfAll(ctx, f.List.Instances)
}

// WaitForOwners waits until every instance reports an owner with free streams for each endpoint that accepts work.
func (f *Fleet) WaitForOwners(ctx context.Context) error {
	return f.waitUntil(ctx, func(ctx context.Context) string { return missingOwner(f.Status(ctx)) })
}

// WaitForRevision waits until all instances have the published configuration revision.
func (f *Fleet) WaitForRevision(ctx context.Context) error {
	return f.waitUntil(ctx, func(ctx context.Context) string {
		for _, response := range f.Status(ctx) {
			if response.Err != nil {
				return response.Err.Error()
			}
			if response.Report.Config.Revision < f.Document.Revision {
				return fmt.Sprintf("%s has revision %d", response.Instance.Name, response.Report.Config.Revision)
			}
		}
		return ""
	})
}

// waitUntil repeats a check until it returns no reason to wait any longer. On a timeout, the error contains the last reason.
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

// missingOwner returns the first reason why WaitForOwners must continue to wait, or an empty string.
func missingOwner(responses []operators.Response) string {
	for _, response := range responses {
		if response.Err != nil {
			return fmt.Sprintf("%s: %v", response.Instance.Name, response.Err)
		}
		if len(response.Report.Endpoints) == 0 {
			return response.Instance.Name + " reports no endpoints"
		}
		for _, endpoint := range response.Report.Endpoints {
			if endpoint.AcceptsWork && (endpoint.Owner == "" || endpoint.FreeStreams == 0) {
				return fmt.Sprintf("%s reports no free stream of %s (owner %q)", response.Instance.Name, endpoint.Name, endpoint.Owner)
			}
		}
	}
	return ""
}

// Publish edits the configuration and publishes it on the platform with the next revision.
func (f *Fleet) Publish(ctx context.Context, edit func(*config.Document)) error {
	edit(&f.Document)
	f.Document.Revision++
	data, err := yaml.Marshal(f.Document)
	if err != nil {
		return err
	}
	return f.post(ctx, fmt.Sprintf("http://%s/control/config?revision=%d", f.PlatformControl, f.Document.Revision), data)
}

// ControlEngine changes the state or the injected faults of an engine stand-in.
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
		return nil, errors.New(request.URL.String() + " responded with " + response.Status + ": " + string(data))
	}
	return data, nil
}
