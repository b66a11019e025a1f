// Package balance predicts how long a server takes to start a request, so that requests go to the
// server that starts them soonest, and requests that would wait too long are refused at once. The
// package does no I/O and reads no clock.
package balance

import (
	"math"
	"time"
)

// Server describes the speed and size of a server. Times are in milliseconds.
type Server struct {
	Slots int
	// A step generates one token for each running request. It takes StepMilliseconds, plus
	// PerSequence for each request, plus ContextPerThousand for each thousand tokens of context.
	// Stride steps make up a pass, which ends with an event for each running request.
	StepMilliseconds   float64
	PerSequence        float64
	ContextPerThousand float64
	Stride             int
	// ReadPerSecond is the number of prompt tokens read (prefilled) in a second, ReadChunk the
	// maximum in one pass; a ReadChunk of 0 means no limit.
	ReadPerSecond float64
	ReadChunk     int
	// TypicalPrompt and TypicalAnswer are mean sizes in tokens.
	TypicalPrompt float64
	TypicalAnswer float64
	// RequestMilliseconds is the mean time of a complete request at a server that reads no prompts,
	// which is one with a ReadPerSecond of 0.
	RequestMilliseconds float64
}

// Load is the known load of a server.
type Load struct {
	// Running counts the requests that have started, Waiting those that have not.
	Running int
	Waiting int
	// Unread is the number of prompt tokens of the waiting requests.
	Unread float64
	// Pace is the factor by which the server is slower than its figures; values up to 1, including
	// 0, count as 1.
	Pace float64
}

// readsPrompts reports whether the server reads prompts.
func (s Server) readsPrompts() bool { return s.ReadPerSecond > 0 }

// stepTime returns the time of one step with the given number of running requests.
func (s Server) stepTime(running float64) float64 {
	return s.StepMilliseconds + running*(s.PerSequence+s.ContextPerThousand*s.TypicalPrompt/1000)
}

// passTime returns the time of a pass with the given number of running requests.
func (s Server) passTime(running float64) float64 { return float64(s.Stride) * s.stepTime(running) }

// ServiceTime returns the mean time between two slots becoming free at a full server.
func (s Server) ServiceTime() time.Duration {
	slots := float64(max(1, s.Slots))
	if !s.readsPrompts() {
		return milliseconds(s.RequestMilliseconds / slots)
	}
	return milliseconds(s.stepTime(slots)*s.TypicalAnswer/slots + 1000*s.TypicalPrompt/s.ReadPerSecond)
}

// Number of passes until the first event of a new prompt, besides those for reading: the one that
// writes the event and, if other requests are running, the current one and what remains of it. With
// 1.5 passes, 0.098 s was predicted where days without overload measured 0.138 s.
const (
	ownPasses       = 1.0
	precedingPasses = 1.0
)

// readingPasses returns the number of passes needed to read prompts: each pass reads at most one
// chunk and also generates tokens for the running requests.
func (s Server) readingPasses(tokens float64) float64 {
	if s.ReadChunk <= 0 {
		return 0
	}
	return tokens / float64(s.ReadChunk)
}

// readingRate returns the number of prompt tokens read in a second while requests run: each chunk
// takes a pass in addition to the reading itself.
func (s Server) readingRate(running int) float64 {
	perToken := 1 / s.ReadPerSecond
	if s.ReadChunk > 0 {
		perToken += s.passTime(float64(running)) / float64(s.ReadChunk) / millisecondsPerSecond
	}
	return 1 / perToken
}

// TimeToFirstEvent predicts the time until the first event of a request that is sent now.
func (s Server) TimeToFirstEvent(load Load, prompt int) time.Duration {
	total := load.Running + load.Waiting
	ahead := max(0, total+1-s.Slots)
	delay := float64(ahead) * float64(s.ServiceTime()) / float64(time.Millisecond)
	if s.readsPrompts() {
		unread := load.Unread + float64(prompt)
		delay += 1000 * unread / s.ReadPerSecond
		passes := max(ownPasses, s.readingPasses(unread))
		if load.Running > 0 {
			passes += precedingPasses
		}
		delay += passes * s.passTime(float64(load.Running))
	} else {
		delay += s.RequestMilliseconds
	}
	if load.Pace > 1 {
		delay *= load.Pace
	}
	return milliseconds(delay)
}

// IdleTimeToFirstEvent predicts the time until the first event of a request at an idle server.
func (s Server) IdleTimeToFirstEvent(prompt int) time.Duration {
	return s.TimeToFirstEvent(Load{}, prompt)
}

// Wait predicts how long a request that is sent now waits for others. It is the same for all sizes:
// based on the request's own size it would be longer for large requests, whose reading is slowed
// down by others.
func (s Server) Wait(load Load) time.Duration {
	typical := int(s.TypicalPrompt)
	return s.TimeToFirstEvent(load, typical) - s.TimeToFirstEvent(Load{Pace: load.Pace}, typical)
}

// MaxWait returns how long requests may wait for others if a request of typical size is to start
// within the limit.
func (s Server) MaxWait(limit time.Duration) time.Duration {
	return max(0, limit-s.IdleTimeToFirstEvent(int(s.TypicalPrompt)))
}

// Duration predicts the time until an answer of the given number of tokens is complete.
func (s Server) Duration(load Load, prompt, answer int) time.Duration {
	step := s.stepTime(float64(load.Running+1)) * max(1, load.Pace)
	// Between steps the server reads the prompts of other requests.
	const readingFactor = 1.25
	return s.TimeToFirstEvent(load, prompt) + milliseconds(readingFactor*step*float64(answer))
}

// maxPrediction bounds every prediction: figures that are published wrong, or that are not finite
// together, must not give times that overflow or lie in the past.
const maxPrediction = time.Hour

func milliseconds(value float64) time.Duration {
	if math.IsNaN(value) {
		return maxPrediction
	}
	return time.Duration(min(max(value, 0), float64(maxPrediction/time.Millisecond)) * float64(time.Millisecond))
}
