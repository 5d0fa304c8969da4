package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/acacialift/acacialift/internal/outcome"
)

// audit compares the stand-ins' execution counts with the recorded outcomes: no key may have been executed twice, and no
// request with the outcome not_run may have been executed.
func (r *recorder) audit(ctx context.Context, addresses []string) error {
	// Each endpoint of a plain service reports the counts of all its endpoints. Therefore the maximum is taken, not the sum.
	executions := make(map[string]int)
	for _, address := range addresses {
		counts, err := fetchExecutions(ctx, address)
		if err != nil {
			return fmt.Errorf("read the execution counts of the stand-in at %s: %w", address, err)
		}
		for id, n := range counts {
			executions[id] = max(executions[id], n)
		}
	}
	r.compareKeys(executions)
	for id := range r.notRun {
		if executions[id] > 0 {
			r.addViolation(Violation{Kind: ViolationRan, Detail: "request " + id})
		}
	}
	return nil
}

func (r *recorder) compareKeys(executions map[string]int) {
	for key, outcomes := range r.keys {
		if executions[key] > 1 {
			r.addViolation(Violation{
				Class:  ClassBooking,
				Kind:   ViolationRanTwice,
				Detail: fmt.Sprintf("key %s was executed %d times", key, executions[key]),
			})
		}
		if executions[key] > 0 && allNotRun(outcomes) {
			r.addViolation(Violation{Class: ClassBooking, Kind: ViolationRan, Detail: "key " + key})
		}
	}
}

func allNotRun(outcomes []string) bool {
	for _, o := range outcomes {
		if o != string(outcome.NotRun) {
			return false
		}
	}
	return true
}

func fetchExecutions(ctx context.Context, address string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/stats", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var stats struct {
		Executions map[string]int `json:"executions"`
	}
	err = json.NewDecoder(response.Body).Decode(&stats)
	return stats.Executions, err
}
