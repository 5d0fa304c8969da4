package lab

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/lease"
)

var _ = Describe("Fit of the control cost", func() {
	// Guards against a wrong extrapolation to the target size because the least-squares fit is wrong.
	It("recovers the coefficients of samples that follow the model", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			coefficient := rapid.Float64Range(-10, 10)
			want := ControlModel{
				Constant: coefficient.Draw(t, "constant"), PerNeighbour: coefficient.Draw(t, "per neighbour"), PerDaemon: coefficient.Draw(t, "per daemon"),
				PerEndpoint: coefficient.Draw(t, "per endpoint"), PerOwned: coefficient.Draw(t, "per owned"),
			}
			var samples []ControlSample
			for _, size := range [][2]int{{4, 20}, {8, 20}, {16, 20}, {32, 20}, {64, 20}, {16, 100}, {16, 600}, {64, 600}} {
				s := ControlSample{ControlSize: ControlSize{Daemons: size[0], Endpoints: size[1]}, Phase: PhaseIdle}
				s.Controller.CPUPercent = want.At(size[0], size[1], lease.KeySlots)
				samples = append(samples, s)
			}
			fit := NewControlReport(samples, 16).Fits[0]
			if fit.Model == nil || math.Abs(fit.Model.At(340, 600, 128)-want.At(340, 600, 128)) > 1e-3 {
				t.Fatalf("model %+v, want %+v", fit.Model, want)
			}
			if slope := want.PerEndpoint + want.PerOwned/16; math.Abs(fit.ByEndpoints.Slope-slope) > 1e-6 {
				t.Fatalf("slope by endpoints %v, want %v", fit.ByEndpoints.Slope, slope)
			}
		})
	})

	// Guards against an arbitrary slope when all samples have the same size.
	It("rejects samples of only one size", func() {
		_, err := FitLine([]float64{16, 16}, []float64{1, 2})
		Expect(err).To(MatchError(errSingular))
	})
})
