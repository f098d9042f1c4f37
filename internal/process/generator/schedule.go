package generator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// job is one request to come.
type job struct {
	at     time.Duration // Since the start of the warmup.
	mix    *Mix
	id     string
	target string
	counts bool
}

// schedule draws the jobs of an experiment, one after another.
type schedule struct {
	exp    *Experiment
	rng    *rand.Rand
	phases []Phase
	at     time.Duration
	end    time.Duration // Of the current phase.
	n      int
	weight float64
}

func newSchedule(exp *Experiment) *schedule {
	s := &schedule{exp: exp, rng: rand.New(rand.NewPCG(exp.Seed, 0))}
	if exp.Warmup > 0 && len(exp.Phases) > 0 {
		s.phases = append(s.phases, Phase{Rate: exp.Phases[0].Rate, Duration: exp.Warmup})
	}
	s.phases = append(s.phases, exp.Phases...)
	for _, m := range exp.Mixes {
		s.weight += m.Weight
	}
	if len(s.phases) > 0 {
		s.end = s.phases[0].Duration
	}
	return s
}

// next returns the following job, or false at the end of the last phase.
func (s *schedule) next() (job, bool) {
	for len(s.phases) > 0 {
		gap := time.Duration(s.rng.ExpFloat64() / s.phases[0].Rate * float64(time.Second))
		if s.at+gap < s.end {
			s.at += gap
			return s.job(), true
		}
		s.at = s.end
		s.phases = s.phases[1:]
		if len(s.phases) > 0 {
			s.end += s.phases[0].Duration
		}
	}
	return job{}, false
}

func (s *schedule) job() job {
	s.n++
	mix := s.drawMix()
	targets := s.exp.Targets
	if len(mix.Targets) > 0 {
		targets = mix.Targets
	}
	return job{
		at:     s.at,
		mix:    mix,
		id:     fmt.Sprintf("%s-%d-%d", s.exp.Name, s.exp.Seed, s.n),
		target: targets[s.rng.IntN(len(targets))],
		counts: s.at >= s.exp.Warmup,
	}
}

func (s *schedule) drawMix() *Mix {
	x := s.rng.Float64() * s.weight
	for i := range s.exp.Mixes {
		x -= s.exp.Mixes[i].Weight
		if x < 0 {
			return &s.exp.Mixes[i]
		}
	}
	return &s.exp.Mixes[len(s.exp.Mixes)-1]
}
