// Package balance predicts how long a server will take to begin a request, so
// that requests go where they begin soonest and those that would wait for too long
// are refused at once. It does no I/O and reads no clock.
package balance

import (
	"time"
)

// Server is the speed and size of a server. Times are in milliseconds.
type Server struct {
	Slots int
	// A step that writes one token for each running request takes StepMilliseconds,
	// PerSequence for each request, and ContextPerThousand for each thousand tokens
	// of context; Stride steps make a pass.
	StepMilliseconds   float64
	PerSequence        float64
	ContextPerThousand float64
	Stride             int
	// ReadPerSecond is how many tokens of prompts are read in a second, ReadChunk how many
	// at most in one pass; 0 stands for no bound.
	ReadPerSecond float64
	ReadChunk     int
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt float64
	UsualAnswer float64
	// RequestMilliseconds is the mean time of a whole request at a server that reads
	// no prompts.
	RequestMilliseconds float64
}

// Load is what is known of a server's work.
type Load struct {
	// Running requests have begun; Waiting ones have not.
	Running int
	Waiting int
	// Unread is the number of prompt tokens of the waiting requests.
	Unread float64
	// Pace is over 1 when the server is slow; 0 stands for 1.
	Pace float64
}

// reads reports whether the server reads prompts.
func (s Server) reads() bool { return s.ReadPerSecond > 0 }

// step is the time of one step with a number of requests running.
func (s Server) step(running float64) float64 {
	return s.StepMilliseconds + running*(s.PerSequence+s.ContextPerThousand*s.UsualPrompt/1000)
}

// pass is the time of a pass with a number of requests running.
func (s Server) pass(running float64) float64 { return float64(s.Stride) * s.step(running) }

// ServiceTime is the mean time between two places becoming free at a full server.
func (s Server) ServiceTime() time.Duration {
	slots := float64(max(1, s.Slots))
	if !s.reads() {
		return milliseconds(s.RequestMilliseconds / slots)
	}
	return milliseconds(s.step(slots)*s.UsualAnswer/slots + 1000*s.UsualPrompt/s.ReadPerSecond)
}

// Passes that go by until a new prompt's first event is out, besides the reading: the
// one that writes the event, and where others run the one under way and its rest.
// Measured: with 0.098 s predicted at 1.5 passes, calm days had 0.138 s.
const (
	ownPasses    = 1.0
	passesBefore = 1.0
)

// readingPasses is how many passes the reading of prompts takes: each reads a chunk at
// most, and writes for the running requests as well.
func (s Server) readingPasses(tokens float64) float64 {
	if s.ReadChunk <= 0 {
		return 0
	}
	return tokens / float64(s.ReadChunk)
}

// readingRate is how many tokens of prompts are read in a second while requests run: each
// chunk takes a pass beside the reading itself.
func (s Server) readingRate(running int) float64 {
	perToken := 1 / s.ReadPerSecond
	if s.ReadChunk > 0 {
		perToken += s.pass(float64(running)) / float64(s.ReadChunk) / millisecondsASecond
	}
	return 1 / perToken
}

// TimeToFirstEvent predicts the time until a request that is sent now begins to be
// answered.
func (s Server) TimeToFirstEvent(load Load, prompt int) time.Duration {
	held := load.Running + load.Waiting
	full := max(0, held+1-s.Slots)
	delay := float64(full) * float64(s.ServiceTime()) / float64(time.Millisecond)
	if s.reads() {
		unread := load.Unread + float64(prompt)
		delay += 1000 * unread / s.ReadPerSecond
		passes := max(ownPasses, s.readingPasses(unread))
		if load.Running > 0 {
			passes += passesBefore
		}
		delay += passes * s.pass(float64(load.Running))
	} else {
		delay += s.RequestMilliseconds
	}
	if load.Pace > 1 {
		delay *= load.Pace
	}
	return milliseconds(delay)
}

// IdleTimeToFirstEvent predicts when an idle server begins to answer a request.
func (s Server) IdleTimeToFirstEvent(prompt int) time.Duration {
	return s.TimeToFirstEvent(Load{}, prompt)
}

// Wait predicts how long a request that is sent now waits for others. It is the same for all sizes: reckoned with a
// request's own size it would be longer for large ones, whose reading others slow down.
func (s Server) Wait(load Load) time.Duration {
	usual := int(s.UsualPrompt)
	return s.TimeToFirstEvent(load, usual) - s.TimeToFirstEvent(Load{Pace: load.Pace}, usual)
}

// MaxWait is how long requests may wait for others where a usual one is to begin within a limit.
func (s Server) MaxWait(limit time.Duration) time.Duration {
	return max(0, limit-s.IdleTimeToFirstEvent(int(s.UsualPrompt)))
}

// Duration predicts the time in which an answer of a number of tokens is written.
func (s Server) Duration(load Load, prompt, answer int) time.Duration {
	step := s.step(float64(load.Running+1)) * max(1, load.Pace)
	// Prompts of others are read between the steps.
	const reading = 1.25
	return s.TimeToFirstEvent(load, prompt) + milliseconds(reading*step*float64(answer))
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
