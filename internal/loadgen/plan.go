package loadgen

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is what a planned request does.
type kind int

const (
	kindModel kind = iota
	kindBooking
	kindRead
)

// The names under which results report requests to the plain service.
const (
	ClassBooking   = "booking"
	ClassDuplicate = "duplicate"
	ClassRead      = "read"
)

// job is one planned request.
type job struct {
	index int
	// at is the planned arrival time, relative to the start of the run.
	at        time.Duration
	kind      kind
	class     Class
	team      string
	profile   string
	tokens    int
	chat      bool
	streaming bool
	// duplicate is true if the request is also sent to the next gateway; it has an effect on bookings only.
	duplicate bool
	// lawn is the number of the lawn that the request books or whose schedule it reads.
	lawn int
}

// lawnCount is the number of lawns of the plain service, each with a schedule.
const lawnCount = 1000

// plan returns the jobs of a run, which depend on the options only.
func plan(o Options) []job {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	jobs := make([]job, o.Requests)
	var at time.Duration
	for i := range jobs {
		at += time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
		jobs[i] = planJob(o, random, i, at)
	}
	if o.WithoutLong {
		jobs = slices.DeleteFunc(jobs, func(j job) bool { return j.class.Tokens > longClassTokens })
	}
	return jobs
}

// planJob draws all values of a job, even if it does not use them. A changed fraction of one kind of request thus does not
// change the other values of a plan.
func planJob(o Options, random *rand.Rand, index int, at time.Duration) job {
	j := job{index: index, at: at}
	toService := random.Float64() < o.ServiceShare && o.Service != ""
	isRead := random.Float64() < 0.5
	j.class = o.Classes[drawIndex(random, len(o.Classes), func(i int) float64 { return o.Classes[i].Share })]
	j.team = o.Teams[drawIndex(random, len(o.Teams), func(i int) float64 { return o.Teams[i].Weight })].Name
	j.profile = o.Profiles[random.IntN(len(o.Profiles))]
	if j.class.Profile != "" {
		j.profile = j.class.Profile
	}
	j.tokens = o.MinOutputTokens + random.IntN(o.MaxOutputTokens-o.MinOutputTokens+1)
	j.chat = random.Float64() < o.ChatShare
	j.streaming = random.Float64() >= o.NonStreamedShare
	j.duplicate = random.Float64() < o.DuplicateShare
	j.lawn = random.IntN(lawnCount)
	if !toService {
		return j
	}
	j.kind, j.class, j.profile = kindBooking, Class{Name: ClassBooking}, o.ServiceProfile
	if isRead {
		j.kind, j.class = kindRead, Class{Name: ClassRead}
	}
	return j
}

// budget returns the time budget that the request of a job states; 0 means none.
func (o *Options) budget(j job) time.Duration {
	if j.kind == kindModel {
		return o.Budget
	}
	return o.ServiceBudget
}

// drawIndex returns a random index below n. The probability of each index is proportional to its weight.
func drawIndex(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := random.Float64() * total
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}
