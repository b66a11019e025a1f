package forward

import (
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// figuresOf returns the figures to predict a service's model servers with: the
// published ones, completed and corrected by what its answers have shown.
func (t *targets) figuresOf(service string, engine *fleet.Engine) balance.Server {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.learnedOf(service).Complete(publishedFigures(engine))
}

// learnedOf returns what is learned of a service; the mutex is held.
func (t *targets) learnedOf(service string) *balance.Learned {
	return held(t.learned, service)
}

// marginOf returns the margin of a service's refusals; the mutex is held.
func (t *targets) marginOf(service string) *balance.Margin {
	return held(t.margins, service)
}

// held returns what is kept of a name, and begins with nothing known.
func held[V any](kept map[string]*V, name string) *V {
	known := kept[name]
	if known == nil {
		known = new(V)
		kept[name] = known
	}
	return known
}

// learnMargin notes how much later than expected a request has begun, if it was expected
// near the limit; the mutex is held.
func (t *targets) learnMargin(w *work, request unbegun, now time.Time) {
	if share := w.wanted.rules().InTimeShare; share > 0 && request.nearLimit {
		t.marginOf(w.wanted.service).Observe(now.Sub(request.due), w.request.Route.Target, share)
	}
}

func publishedFigures(engine *fleet.Engine) balance.Server {
	return balance.Server{
		Slots: engine.Slots, Stride: engine.Stride,
		StepMilliseconds: engine.StepMilliseconds, PerSequence: engine.PerSequenceMilliseconds, ContextPerThousand: engine.ContextPerThousand,
		ReadPerSecond: engine.ReadPerSecond, ReadChunk: engine.ReadChunk, UsualPrompt: engine.UsualPrompt, UsualAnswer: engine.UsualAnswer,
	}
}

// learnFirstEvent notes when a request's first event came, if the server had nothing
// else to do; the mutex is held.
func (t *targets) learnFirstEvent(w *work, request unbegun, now time.Time) {
	if request.idle {
		t.learnedOf(w.wanted.service).IdleFirstEvent(publishedFigures(w.wanted.engine), request.prompt, now.Sub(request.sentAt))
	}
}

// learnStream notes a stream that one server has written from its first event to its
// last.
func (w *work) learnStream() {
	if w.wanted.engine == nil || w.sent != 1 {
		return
	}
	writing := w.eventAt.Sub(w.request.Arrived.Add(w.firstAfter))
	w.targets.mutex.Lock()
	defer w.targets.mutex.Unlock()
	w.targets.learnedOf(w.wanted.service).Stream(w.wanted.prompt, w.events, writing)
}

// checkConfiguration looks a new configuration through for what it lacks or can't mean.
func (f *Forwarder) checkConfiguration(configuration *fleet.Configuration) {
	if configuration == nil || configuration == f.checked {
		return
	}
	f.checked = configuration
	f.checkFigures(configuration)
	f.checkRegions(configuration)
}

// checkFigures logs and counts the figures that a configuration lacks.
func (f *Forwarder) checkFigures(configuration *fleet.Configuration) {
	count := 0
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		missing := service.Engine.MissingFigures()
		count += len(missing)
		if len(missing) > 0 {
			f.log.Log(logging.FiguresMissing, zap.String("service", name), zap.Strings("figures", missing),
				zap.Uint64("configuration", configuration.Version))
		}
	}
	f.metrics.missingFigures.Set(float64(count))
}
