package balance

import "time"

// Parameters of the estimates.
const (
	// decay is the factor by which each new sample reduces the weight of older ones: about the last
	// hundred samples dominate a figure.
	decay = 0.99
	// minSamplesToFill is the number of samples that replace a figure that is not published.
	minSamplesToFill = 5
	// minSamplesToCorrect is the number of samples that replace a published figure, provided they
	// differ from it by more than a factor of maxDeviation. Times observed by a client include the
	// network and other requests, which together account for a factor of about two.
	minSamplesToCorrect = 50
	maxDeviation        = 4.0
	// maxOutlierRatio limits a sample to this multiple of its prediction: single requests are
	// delayed for seconds by lost packets and broken links.
	maxOutlierRatio = 8
	// minReadingFraction is the minimum fraction of the time to the first event that counts as
	// reading, however long a pass seems.
	minReadingFraction = 0.25

	millisecondsPerSecond = 1000.0
)

// Default figures, typical of a model server, used until a few requests have been answered.
const (
	assumedSlots            = 8
	assumedReadPerSecond    = 15000
	assumedStepMilliseconds = 10
	assumedPrompt           = 1000
	assumedAnswer           = 100
)

// Estimator estimates the speed of a service's servers from their answers. The zero value has no
// samples.
type Estimator struct {
	// readRate is the number of prompt tokens divided by the seconds to the first event, without
	// the pass that writes it, at servers with no other load; idleRatio is the time to the first
	// event divided by the prediction from the published figures.
	readRate  decayingMean
	idleRatio decayingMean
	// eventInterval is the number of milliseconds between two events; promptTokens and answerEvents
	// are the sizes of requests.
	eventInterval decayingMean
	promptTokens  decayingMean
	answerEvents  decayingMean
}

// decayingMean is a ratio of two sums that decay with each sample.
type decayingMean struct {
	sum     float64
	weight  float64
	samples int
}

func (m *decayingMean) add(value, weight float64) {
	m.sum = decay*m.sum + value
	m.weight = decay*m.weight + weight
	m.samples++
}

func (m *decayingMean) value() float64 { return m.sum / m.weight }

// RecordIdleFirstEvent records the time to the first event of a request at a server with no other
// load, given its published figures.
func (e *Estimator) RecordIdleFirstEvent(published Server, prompt int, delay time.Duration) {
	if prompt <= 0 || delay <= 0 {
		return
	}
	pass := published.passTime(0)
	reading := max(delay.Seconds()-pass/millisecondsPerSecond, minReadingFraction*delay.Seconds())
	e.readRate.add(float64(prompt), reading)
	if published.ReadPerSecond > 0 {
		predicted := published.IdleTimeToFirstEvent(prompt)
		e.idleRatio.add(float64(min(delay, maxOutlierRatio*predicted)), float64(predicted))
	}
}

// RecordStream records a complete answer: its number of events and the time from the first to the
// last.
func (e *Estimator) RecordStream(prompt, events int, writing time.Duration) {
	if prompt > 0 {
		e.promptTokens.add(float64(prompt), 1)
	}
	if events > 1 && writing > 0 {
		e.eventInterval.add(float64(writing)/float64(time.Millisecond), float64(events-1))
		e.answerEvents.add(float64(events), 1)
	}
}

// Merge fills in the figures of a model server that are not published, and replaces those that
// differ too much from the observed answers.
func (e *Estimator) Merge(published Server) Server {
	server := published
	if server.Slots < 1 {
		server.Slots = assumedSlots
	}
	if server.Stride < 1 {
		server.Stride = 1
	}
	stride := float64(server.Stride)
	if published.ReadPerSecond <= 0 || e.readRateDeviates() {
		server.ReadPerSecond = e.readRate.resolve(0, 1, assumedReadPerSecond)
	}
	server.StepMilliseconds = e.eventInterval.resolve(published.StepMilliseconds, 1/stride, assumedStepMilliseconds)
	server.TypicalPrompt = e.promptTokens.resolve(published.TypicalPrompt, 1, assumedPrompt)
	server.TypicalAnswer = e.answerEvents.resolve(published.TypicalAnswer, stride, assumedAnswer)
	return server
}

// readRateDeviates reports whether idle servers start requests so much sooner or later than
// predicted that the published read rate can't be right.
func (e *Estimator) readRateDeviates() bool {
	if e.idleRatio.samples < minSamplesToCorrect {
		return false
	}
	ratio := e.idleRatio.value()
	return ratio > maxDeviation || ratio < 1/maxDeviation
}

// resolve returns the published figure unless it is missing or differs too much from the mean times
// scale. If it is missing and there are too few samples, resolve returns assumed.
func (m *decayingMean) resolve(published, scale, assumed float64) float64 {
	missing := published <= 0
	if m.samples < minSamplesToFill || (!missing && m.samples < minSamplesToCorrect) {
		if missing {
			return assumed
		}
		return published
	}
	observed := m.value() * scale
	if missing || observed > maxDeviation*published || observed < published/maxDeviation {
		return observed
	}
	return published
}
