package balance

import "time"

// Bounds of what is learned.
const (
	// learnedShare of the older samples counts after each new one: the last hundred or
	// so make up most of a figure.
	learnedShare = 0.99
	// enoughToFill is how many samples replace a figure that is not published.
	enoughToFill = 5
	// enoughToCorrect is how many samples replace a published figure that they
	// contradict, and contradiction the factor between the two from which they do: what
	// is seen from outside contains the network and other requests, which together make
	// for a factor of about two.
	enoughToCorrect = 50
	contradiction   = 4.0
	// outlier times its prediction is the most that one sample counts for: single
	// requests are held up for seconds by lost packets and cut links.
	outlier = 8
	// leastReadingShare of the time until the first event is taken for reading, however
	// long a pass seems.
	leastReadingShare = 0.25

	millisecondsASecond = 1000.0
)

// Figures that are assumed until a few requests have been answered: of a middling
// model server.
const (
	assumedSlots            = 8
	assumedReadPerSecond    = 15000
	assumedStepMilliseconds = 10
	assumedPrompt           = 1000
	assumedAnswer           = 100
)

// Estimator is what the answers of a service's servers show of their speed. Its zero
// value knows nothing yet.
type Estimator struct {
	// reading holds prompt tokens over the seconds until the first event less the pass
	// that writes it, at servers that had nothing else to do; idle holds the whole time
	// over the one that the published figures predict.
	reading mean
	idle    mean
	// pass holds the milliseconds between two events, prompt and events the sizes of
	// requests.
	pass   mean
	prompt mean
	events mean
}

// mean is a fading quotient of two sums.
type mean struct {
	sum     float64
	weight  float64
	samples int
}

func (m *mean) add(value, weight float64) {
	m.sum = learnedShare*m.sum + value
	m.weight = learnedShare*m.weight + weight
	m.samples++
}

func (m *mean) value() float64 { return m.sum / m.weight }

// RecordIdleFirstEvent notes how long a server that had nothing else to do took until the
// first event of a request, where the published figures are those given.
func (l *Estimator) RecordIdleFirstEvent(published Server, prompt int, delay time.Duration) {
	if prompt <= 0 || delay <= 0 {
		return
	}
	pass := published.pass(0)
	reading := max(delay.Seconds()-pass/millisecondsASecond, leastReadingShare*delay.Seconds())
	l.reading.add(float64(prompt), reading)
	if published.ReadPerSecond > 0 {
		predicted := published.IdleTimeToFirstEvent(prompt)
		l.idle.add(float64(min(delay, outlier*predicted)), float64(predicted))
	}
}

// RecordStream notes a complete answer: its events and the time from the first of them to
// the last.
func (l *Estimator) RecordStream(prompt, events int, writing time.Duration) {
	if prompt > 0 {
		l.prompt.add(float64(prompt), 1)
	}
	if events > 1 && writing > 0 {
		l.pass.add(float64(writing)/float64(time.Millisecond), float64(events-1))
		l.events.add(float64(events), 1)
	}
}

// Merge fills in the figures of a model server that are not published, and replaces
// those that the answers contradict.
func (l *Estimator) Merge(published Server) Server {
	server := published
	if server.Slots < 1 {
		server.Slots = assumedSlots
	}
	if server.Stride < 1 {
		server.Stride = 1
	}
	stride := float64(server.Stride)
	if published.ReadPerSecond <= 0 || l.idleContradicts() {
		server.ReadPerSecond = l.reading.orElse(0, 1, assumedReadPerSecond)
	}
	server.StepMilliseconds = l.pass.orElse(published.StepMilliseconds, 1/stride, assumedStepMilliseconds)
	server.UsualPrompt = l.prompt.orElse(published.UsualPrompt, 1, assumedPrompt)
	server.UsualAnswer = l.events.orElse(published.UsualAnswer, stride, assumedAnswer)
	return server
}

// idleContradicts reports whether idle servers begin requests so much sooner or later
// than the published figures say that the reading rate can't be right.
func (l *Estimator) idleContradicts() bool {
	if l.idle.samples < enoughToCorrect {
		return false
	}
	ratio := l.idle.value()
	return ratio > contradiction || ratio < 1/contradiction
}

// orElse returns the published figure unless it is missing or contradicted by the mean
// times a scale; assumed is returned where there is neither.
func (m *mean) orElse(published, scale, assumed float64) float64 {
	missing := published <= 0
	if m.samples < enoughToFill || (!missing && m.samples < enoughToCorrect) {
		if missing {
			return assumed
		}
		return published
	}
	seen := m.value() * scale
	if missing || seen > contradiction*published || seen < published/contradiction {
		return seen
	}
	return published
}
