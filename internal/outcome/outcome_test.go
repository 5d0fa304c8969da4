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
	// Guards against a Retry-After that tells the caller to come back before the stated delay.
	It("rounds Retry-After up to whole seconds", func() {
		w := httptest.NewRecorder()
		outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, "busy", "no credit",
			1100*time.Millisecond).WriteTo(w)
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
		Expect(w.Header().Get(outcome.HeaderName)).To(Equal("not_run"))
	})

	// Guards against clients that cannot read the outcome from the body.
	It("carries outcome, stage and repeat safety in the body", func() {
		refused := outcome.Refusal(400, outcome.StageAdmission, "missing_team", "no team", 0)
		var body outcome.Body
		Expect(json.Unmarshal(refused.JSON(), &body)).To(Succeed())
		Expect(body.Error.Outcome).To(Equal(outcome.NotRun))
		Expect(body.Error.Stage).To(Equal(outcome.StageAdmission))
		Expect(body.Error.RetrySafe).To(BeTrue())
	})
})
