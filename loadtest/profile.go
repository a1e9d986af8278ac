// Package loadtest drives open-loop load through rhubarbrelay, checks what the
// targets counted and compares the result with an ideal central queue.
package loadtest

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// ErrProfile reports a load profile that cannot be run.
var ErrProfile = errors.New("invalid load profile")

// Defaults of a profile.
const (
	defaultSeed     = 1
	defaultDuration = 10 * time.Second
	defaultRate     = 1000 // requests a second
	defaultWorkMean = 10 * time.Millisecond
	defaultFactor   = 50
	defaultDeadline = 2 * time.Second
	defaultBody     = 200 // bytes
	percent         = 100
)

// Profile describes the load on one service. The same profile and seed give
// the same arrivals and service times.
type Profile struct {
	Service  string
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of requests a second; arrivals are a Poisson
	// process.
	Rate float64
	// WorkMean is the mean service time of short requests, which is
	// exponentially distributed.
	WorkMean time.Duration
	// LongPercent of the requests work LongFactor times longer.
	LongPercent float64
	LongFactor  float64
	// WritePercent of the requests are non-idempotent.
	WritePercent float64
	// Keyed writes carry idempotency keys, so that callers may repeat them.
	Keyed    bool
	Deadline time.Duration
	Body     int
	Phases   []Phase
	Noise    Noise
}

// Phase multiplies the rate during a part of the run.
type Phase struct {
	Start  time.Duration
	Length time.Duration
	Factor float64
}

// Noise describes how the targets slow down at random moments. Only the ideal
// central queue reads it; the stand-ins of targets get theirs by flags.
type Noise struct {
	Factor int
	Length time.Duration
	// Share of the time that a target is slow, 0 to 1.
	Share float64
}

// LoadProfile reads a profile from an INI file with a section [load], optional
// sections [phase NAME] and an optional section [noise].
func LoadProfile(path string) (*Profile, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrProfile, err)
	}
	load := file.Section("load")
	p := &Profile{
		Service:      load.Key("service").String(),
		Seed:         load.Key("seed").MustUint64(defaultSeed),
		Duration:     load.Key("duration").MustDuration(defaultDuration),
		Rate:         load.Key("rate").MustFloat64(defaultRate),
		WorkMean:     load.Key("work_mean").MustDuration(defaultWorkMean),
		LongPercent:  load.Key("long_percent").MustFloat64(0),
		LongFactor:   load.Key("long_factor").MustFloat64(defaultFactor),
		WritePercent: load.Key("write_percent").MustFloat64(0),
		Keyed:        load.Key("keyed").MustBool(true),
		Deadline:     load.Key("deadline").MustDuration(defaultDeadline),
		Body:         load.Key("body_bytes").MustInt(defaultBody),
	}
	for _, section := range file.Sections() {
		if strings.HasPrefix(section.Name(), "phase ") {
			p.Phases = append(p.Phases, Phase{
				Start:  section.Key("start").MustDuration(0),
				Length: section.Key("length").MustDuration(0),
				Factor: section.Key("factor").MustFloat64(1),
			})
		}
	}
	noise := file.Section("noise")
	p.Noise = Noise{
		Factor: noise.Key("factor").MustInt(1),
		Length: noise.Key("length").MustDuration(defaultNoiseLength),
		Share:  noise.Key("share").MustFloat64(0),
	}
	return p, p.validate(path)
}

const defaultNoiseLength = 100 * time.Millisecond

func (p *Profile) validate(path string) error {
	if p.Service == "" {
		return fmt.Errorf("%w: %s: section \"load\" needs the key \"service\"", ErrProfile, path)
	}
	if p.Rate <= 0 || p.Duration <= 0 || p.WorkMean <= 0 {
		return fmt.Errorf("%w: %s: rate, duration and work_mean must be positive", ErrProfile, path)
	}
	return nil
}

// factorAt returns what the rate is multiplied with at a time of the run.
func (p *Profile) factorAt(at time.Duration) float64 {
	for _, phase := range p.Phases {
		if at >= phase.Start && at < phase.Start+phase.Length {
			return phase.Factor
		}
	}
	return 1
}
