package generator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// job is one scheduled request.
type job struct {
	offset   time.Duration // Since the start of the warmup.
	mix      *Mix
	id       string
	target   string
	measured bool // False during the warmup.
}

// schedule draws the jobs of an experiment in the order of time.
type schedule struct {
	exp         *Experiment
	rng         *rand.Rand
	phases      []Phase       // The current phase and those that follow.
	offset      time.Duration // Of the last job.
	phaseEnd    time.Duration // Offset at which the current phase ends.
	drawn       int           // Number of jobs drawn.
	totalWeight float64       // Sum of the weights of all mixes.
}

func newSchedule(exp *Experiment) *schedule {
	s := &schedule{exp: exp, rng: rand.New(rand.NewPCG(exp.Seed, 0))}
	if exp.Warmup > 0 && len(exp.Phases) > 0 {
		s.phases = append(s.phases, Phase{Rate: exp.Phases[0].Rate, Duration: exp.Warmup})
	}
	s.phases = append(s.phases, exp.Phases...)
	for _, m := range exp.Mixes {
		s.totalWeight += m.Weight
	}
	if len(s.phases) > 0 {
		s.phaseEnd = s.phases[0].Duration
	}
	return s
}

// next returns the next job, or false at the end of the last phase.
func (s *schedule) next() (job, bool) {
	for len(s.phases) > 0 {
		gap := time.Duration(s.rng.ExpFloat64() / s.phases[0].Rate * float64(time.Second))
		if s.offset+gap < s.phaseEnd {
			s.offset += gap
			return s.drawJob(), true
		}
		s.offset = s.phaseEnd
		s.phases = s.phases[1:]
		if len(s.phases) > 0 {
			s.phaseEnd += s.phases[0].Duration
		}
	}
	return job{}, false
}

func (s *schedule) drawJob() job {
	s.drawn++
	mix := s.drawMix()
	targets := s.exp.Targets
	if len(mix.Targets) > 0 {
		targets = mix.Targets
	}
	return job{
		offset:   s.offset,
		mix:      mix,
		id:       fmt.Sprintf("%s-%d-%d", s.exp.Name, s.exp.Seed, s.drawn),
		target:   targets[s.rng.IntN(len(targets))],
		measured: s.offset >= s.exp.Warmup,
	}
}

// drawMix returns a mix at random, by weight.
func (s *schedule) drawMix() *Mix {
	x := s.rng.Float64() * s.totalWeight
	for i := range s.exp.Mixes {
		x -= s.exp.Mixes[i].Weight
		if x < 0 {
			return &s.exp.Mixes[i]
		}
	}
	return &s.exp.Mixes[len(s.exp.Mixes)-1]
}
