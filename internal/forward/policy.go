package forward

import (
	"strconv"

	"pinevane.example/pinevane/internal/fault"
)

// Policy holds the weights of the mechanisms that an entry decides by, so that the effect of each
// can be measured by switching it off. The tags define flags of the entry command.
type Policy struct {
	RefusalShare float64 `long:"refusal-share" env:"PINEVANE_REFUSAL_SHARE" default:"1" description:"weight of the limit within which a request of usual size is to begin; what it leaves is how long any request may wait for others, 0 (never refuse) to 10"`
	InTimeShare  float64 `long:"in-time-share" env:"PINEVANE_IN_TIME_SHARE" default:"0.7" description:"share of the requests that wait for nearly as long as they may that are to begin in time, 0 (a fixed limit of 1.1 targets) to 0.99"`
	LateShare    float64 `long:"late-share" env:"PINEVANE_LATE_SHARE" default:"0.15" description:"share of what a first attempt may wait that is granted to one whose answer is late in any case while first attempts are refused, 0 (idle servers only) to 1 (no difference)"`
	UnseenLoad   float64 `long:"unseen-load" env:"PINEVANE_UNSEEN_LOAD" default:"1" description:"weight of the load that other entries may have brought to a server since its agent's word, 0 to 2"`
	Lateness     float64 `long:"lateness" env:"PINEVANE_LATENESS" default:"1" description:"weight of how much later than predicted a server has begun requests lately, 0 to 2"`
	SwitchWeight float64 `long:"switch-weight" env:"PINEVANE_SWITCH_WEIGHT" default:"2" description:"weight of the time by which a request would put off its server's change-over, 0 to 2"`
	Scarcity     float64 `long:"scarcity" env:"PINEVANE_SCARCITY" default:"1" description:"weight of what a request that may be served in several regions takes from those that only one may serve, 0 to 2"`
	SampleSize   int     `long:"sample-size" env:"PINEVANE_SAMPLE_SIZE" default:"4" description:"servers that are compared for a request, 1 to 64"`
}

// DefaultPolicy returns the flags' default values.
func DefaultPolicy() Policy {
	return Policy{RefusalShare: 1, InTimeShare: 0.7, LateShare: 0.15, UnseenLoad: 1, Lateness: 1, SwitchWeight: 2, Scarcity: 1, SampleSize: 4}
}

// Upper bounds of the policy's values.
const (
	maxWeight       = 2
	maxRefusalShare = 10
	maxInTimeShare  = 0.99
	maxLateShare    = 1
	maxSampleSize   = 64
)

// Check returns a *fault.InvalidSetting for a value that is out of range.
func (p Policy) Check() error {
	for _, setting := range []struct {
		flag  string
		value float64
		max   float64
	}{
		{"--refusal-share", p.RefusalShare, maxRefusalShare}, {"--in-time-share", p.InTimeShare, maxInTimeShare}, {"--late-share", p.LateShare, maxLateShare}, {"--unseen-load", p.UnseenLoad, maxWeight},
		{"--lateness", p.Lateness, maxWeight}, {"--switch-weight", p.SwitchWeight, maxWeight}, {"--scarcity", p.Scarcity, maxWeight},
	} {
		if !(setting.value >= 0 && setting.value <= setting.max) {
			return &fault.InvalidSetting{Flag: setting.flag, Value: strconv.FormatFloat(setting.value, 'g', -1, 64), Allowed: "0 to " + strconv.FormatFloat(setting.max, 'g', -1, 64)}
		}
	}
	if p.SampleSize < 1 || p.SampleSize > maxSampleSize {
		return &fault.InvalidSetting{Flag: "--sample-size", Value: strconv.Itoa(p.SampleSize), Allowed: "1 to " + strconv.Itoa(maxSampleSize)}
	}
	return nil
}
