package outcome_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestOutcome(t *testing.T) { testkit.RunSpecs(t, "outcome") }

var _ = Describe("Error", func() {
	// Guards against a Retry-After that is shorter than the intended delay.
	It("rounds Retry-After up to whole seconds", func() {
		w := httptest.NewRecorder()
		outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, "busy", "no credit",
			1100*time.Millisecond).WriteTo(w)
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
		Expect(w.Header().Get(outcome.HeaderName)).To(Equal("not_run"))
	})

	// Guards against a body without the fields that clients evaluate.
	It("encodes outcome, stage and retry safety in the body", func() {
		refusal := outcome.Refusal(400, outcome.StageAdmission, "missing_team", "no team", 0)
		var body outcome.Body
		Expect(json.Unmarshal(refusal.JSON(), &body)).To(Succeed())
		Expect(body.Error.Outcome).To(Equal(outcome.NotRun))
		Expect(body.Error.Stage).To(Equal(outcome.StageAdmission))
		Expect(body.Error.RetrySafe).To(BeTrue())
	})
})
