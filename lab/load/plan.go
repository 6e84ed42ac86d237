package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	labengine "github.com/sloelift/sloelift/lab/engine"
)

// OnlineArrival is one online request.
type OnlineArrival struct {
	At time.Duration
	// Marker is the unique last line of Content, by which results are matched with the
	// engines' records without the ids of the system under test.
	Marker        string
	Content       string
	MaxTokens     int
	NotRepeatable bool
	// Resend sends the same marked request to a second node at the same time.
	Resend bool
}

// Expected returns the correct answer.
func (a OnlineArrival) Expected() labengine.Answer {
	return labengine.AnswerTo(labengine.ChatPrompt(a.Content), a.MaxTokens)
}

// JobArrival is one batch job.
type JobArrival struct {
	At            time.Duration
	Key           string
	Priority      string
	Deadline      time.Duration
	NotRepeatable bool
	// Resend submits the same job a second time while the first submission is in flight.
	Resend bool
	// CancelAfter is the time from the job's acceptance to its cancel; 0 means no cancel.
	CancelAfter time.Duration
	Items       []JobItem
}

// JobItem is one item of a job.
type JobItem struct {
	CustomID  string
	Content   string
	MaxTokens int
}

// itemMark is part of the marker of every batch item and of no online request.
const itemMark = "-item-"

// IsBatch reports whether a marker belongs to a batch item.
func IsBatch(marker string) bool { return strings.Contains(marker, itemMark) }

// Expected returns the correct answer.
func (i JobItem) Expected() labengine.Answer {
	return labengine.AnswerTo(labengine.ChatPrompt(i.Content), i.MaxTokens)
}

// maxCancelAfter is the maximum time until a job's cancel, short enough for items to be in flight.
const maxCancelAfter = 1500 * time.Millisecond

// Plan holds all arrivals of one run, sorted by time.
type Plan struct {
	Profile  Profile
	Seed     uint64
	Duration time.Duration
	Online   []OnlineArrival
	Jobs     []JobArrival
}

// NewPlan draws the arrivals within duration from a seed; the same arguments give the same plan.
func NewPlan(profile Profile, duration time.Duration, seed uint64) Plan {
	plan := Plan{Profile: profile, Seed: seed, Duration: duration}
	plan.Online = onlineArrivals(profile, duration, seed)
	plan.Jobs = jobArrivals(profile, duration, seed)
	return plan
}

// Independent streams of random numbers for the parts of a plan.
const (
	streamOnline = iota + 1
	streamBatch
	streamText
	streamBurst
)

func onlineArrivals(profile Profile, duration time.Duration, seed uint64) []OnlineArrival {
	shape := profile.Online
	random := rand.New(rand.NewPCG(seed, streamOnline))
	arrivals := poisson(random, shape.RequestsPerSecond, 0, duration)
	bursts := rand.New(rand.NewPCG(seed, streamBurst))
	for start := aroundMean(bursts, shape.BurstEvery); start < duration; start += aroundMean(bursts, shape.BurstEvery) {
		arrivals = append(arrivals, poisson(bursts, shape.BurstRequestsPerSecond, start, min(start+shape.BurstLength, duration))...)
	}
	slices.Sort(arrivals)
	prefixes := sharedTexts(seed, profile.Name+"-online", shape.Prefixes, shape.PrefixBytes)
	online := make([]OnlineArrival, len(arrivals))
	for index, at := range arrivals {
		marker := fmt.Sprintf("%s-online-%d-%d", profile.Name, seed, index)
		question := text(random, shape.QuestionBytes/2+random.IntN(shape.QuestionBytes))
		online[index] = OnlineArrival{
			At:            at,
			Marker:        marker,
			Content:       prefixes[skewedIndex(random, len(prefixes))] + "\n" + question + "\n" + marker,
			MaxTokens:     shape.MaxTokens/2 + random.IntN(shape.MaxTokens/2+1),
			NotRepeatable: random.Float64() < shape.NotRepeatableShare,
		}
		if random.Float64() < shape.LongShare {
			online[index].MaxTokens = shape.LongTokens
		}
		online[index].Resend = online[index].NotRepeatable && random.Float64() < shape.ResendShare
	}
	return online
}

func jobArrivals(profile Profile, duration time.Duration, seed uint64) []JobArrival {
	shape := profile.Batch
	random := rand.New(rand.NewPCG(seed, streamBatch))
	var jobs []JobArrival
	for burst := shape.FirstBurst; burst < duration && shape.BurstEvery > 0; burst += nearMean(random, shape.BurstEvery) {
		for range shape.JobsPerBurst {
			at := burst + time.Duration(random.Int64N(int64(200*time.Millisecond)))
			jobs = append(jobs, newJob(random, profile, fmt.Sprintf("%s-job-%d-%d", profile.Name, seed, len(jobs)), at))
		}
	}
	slices.SortStableFunc(jobs, func(a, b JobArrival) int { return cmp.Compare(a.At, b.At) })
	return jobs
}

func newJob(random *rand.Rand, profile Profile, key string, at time.Duration) JobArrival {
	shape := profile.Batch
	job := JobArrival{At: at, Key: key, Priority: PriorityBatch, Deadline: shape.Deadline}
	if random.Float64() < shape.UrgentShare {
		job.Priority = PriorityUrgent
	}
	job.NotRepeatable = random.Float64() < shape.NotRepeatableShare
	job.Resend = random.Float64() < shape.ResendShare
	if random.Float64() < shape.CancelShare {
		job.CancelAfter = time.Duration(1 + random.Int64N(int64(maxCancelAfter)))
	}
	prefix := text(random, shape.PrefixBytes)
	for index := range shape.ItemsPerJob {
		customID := key + itemMark + strconv.Itoa(index)
		job.Items = append(job.Items, JobItem{
			CustomID:  customID,
			Content:   prefix + "\n" + text(random, shape.ContentBytes/2+random.IntN(shape.ContentBytes+1)) + "\n" + customID,
			MaxTokens: shape.MaxTokens/2 + random.IntN(shape.MaxTokens/2+1),
		})
	}
	return job
}

func poisson(random *rand.Rand, perSecond float64, from, to time.Duration) []time.Duration {
	var arrivals []time.Duration
	if perSecond <= 0 {
		return nil
	}
	mean := time.Duration(float64(time.Second) / perSecond)
	for at := from + exponential(random, mean); at < to; at += exponential(random, mean) {
		arrivals = append(arrivals, at)
	}
	return arrivals
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// aroundMean returns a random time between 0.5 and 1.5 times mean.
func aroundMean(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + random.Float64()))
}

// nearMean returns a random time between 0.9 and 1.1 times mean.
func nearMean(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.9 + 0.2*random.Float64()))
}

// skewedIndex draws an index below count; lower ones are more likely.
func skewedIndex(random *rand.Rand, count int) int {
	uniform := random.Float64()
	return int(uniform * uniform * float64(count))
}

func sharedTexts(seed uint64, name string, count, length int) []string {
	random := rand.New(rand.NewPCG(seed, streamText))
	texts := make([]string, count)
	for index := range texts {
		texts[index] = fmt.Sprintf("%s %d: %s", name, index, text(random, length))
	}
	return texts
}

// text returns random words of at least length bytes in total.
func text(random *rand.Rand, length int) string {
	var words strings.Builder
	for words.Len() < length {
		fmt.Fprintf(&words, "%06x ", random.Uint32()&0xffffff)
	}
	return words.String()
}
