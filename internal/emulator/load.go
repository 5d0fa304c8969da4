package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rank is the urgency of the kind for the wait queue; 0 is the highest rank.
	Rank int
	// Rate is the mean number of requests per second.
	Rate                         float64
	Objective, TimeLimit, MaxGap time.Duration
	// Value is the value of an on-time request with a prompt of mean length, LateValue that of a late one.
	Value, LateValue float64
	// Prompt and Events are the distributions of the prompt's tokens and of the number of events in the response.
	Prompt, Events Sizes
}

// Sizes is a log-normal distribution with an upper bound. Spread is the standard deviation of the logarithm.
type Sizes struct {
	Mean, Spread, Max float64
}

func (s Sizes) draw(random *rand.Rand) float64 {
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return min(max(math.Exp(mu+s.Spread*random.NormFloat64()), 1), s.Max)
}

// Phase multiplies the rates of kinds for a period.
type Phase struct {
	From, To time.Duration
	// Factors maps the name of a kind to its factor; other kinds keep their rate.
	Factors map[string]float64
}

// Load is a pattern of arrivals.
type Load struct {
	Kinds  []Kind
	Phases []Phase
	Length time.Duration
	// Waves multiplies the rates of all kinds by the mean of its waves, if there are any.
	Waves []Wave
	// Teams is the number of teams that send requests; zero if there are no teams. The share of team i is proportional to
	// i^-TeamExponent (Zipf), counted from 1.
	Teams        int
	TeamExponent float64
	// TeamFactors maps a team to the factor on its share of all requests.
	TeamFactors map[int]float64
}

// Wave is a rate that swings around its mean as a sine.
type Wave struct {
	// Amplitude is a fraction of the mean, Phase an angle in radians at the start.
	Amplitude, Phase float64
	Period           time.Duration
}

func (w Wave) factor(at time.Duration) float64 {
	return 1 + w.Amplitude*math.Sin(2*math.Pi*float64(at)/float64(w.Period)+w.Phase)
}

// waveFactor returns the mean of the waves at a time.
func (l *Load) waveFactor(at time.Duration) float64 {
	if len(l.Waves) == 0 {
		return 1
	}
	var sum float64
	for _, w := range l.Waves {
		sum += w.factor(at)
	}
	return sum / float64(len(l.Waves))
}

// peakWaveFactor returns an upper bound of waveFactor.
func (l *Load) peakWaveFactor() float64 {
	peak := 1.0
	for _, w := range l.Waves {
		peak = max(peak, 1+w.Amplitude)
	}
	return peak
}

// assignTeams draws a team from 1 on for each arrival.
func (l *Load) assignTeams(arrivals []arrival, random *rand.Rand) {
	var bounds []float64
	var sum float64
	for i := range l.Teams {
		share := math.Pow(float64(i+1), -l.TeamExponent)
		if factor, named := l.TeamFactors[i+1]; named {
			share *= factor
		}
		sum += share
		bounds = append(bounds, sum)
	}
	for i := range arrivals {
		at, _ := slices.BinarySearch(bounds, random.Float64()*sum)
		arrivals[i].team = uint32(at + 1)
	}
}

// arrival is one request of a load.
type arrival struct {
	// at is the time of the first attempt.
	at     time.Duration
	kind   *Kind
	tokens int64
	events int
	// team is the team of the caller from 1 on; zero if there are no teams.
	team uint32
}

// arrivals draws the requests of a load, in no particular order.
func (l *Load) arrivals(random *rand.Rand) []arrival {
	var all []arrival
	for i := range l.Kinds {
		kind := &l.Kinds[i]
		for at := time.Duration(0); ; {
			// A Poisson process at the peak rate is thinned to the current rate.
			peak := kind.Rate * l.peakFactor(kind.Name) * l.peakWaveFactor()
			at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
			if at >= l.Length {
				break
			}
			if random.Float64()*peak > kind.Rate*l.factor(kind.Name, at)*l.waveFactor(at) {
				continue
			}
			all = append(all, arrival{
				at: at, kind: kind, tokens: int64(kind.Prompt.draw(random)), events: int(math.Ceil(kind.Events.draw(random))),
			})
		}
	}
	return all
}

func (l *Load) factor(kind string, at time.Duration) float64 {
	for _, p := range l.Phases {
		if factor, named := p.Factors[kind]; named && at >= p.From && at < p.To {
			return factor
		}
	}
	return 1
}

func (l *Load) peakFactor(kind string) float64 {
	peak := 1.0
	for _, p := range l.Phases {
		peak = max(peak, p.Factors[kind])
	}
	return peak
}

// quantile returns the size at a number of standard deviations of the logarithm from its mean.
func quantile(s Sizes, deviations float64) float64 {
	return min(math.Exp(math.Log(s.Mean)-s.Spread*s.Spread/2+deviations*s.Spread), s.Max)
}
