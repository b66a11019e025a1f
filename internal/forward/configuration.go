package forward

import (
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// checkConfiguration checks a new configuration for missing and invalid values.
func (f *Forwarder) checkConfiguration(configuration *fleet.Configuration) {
	if configuration == nil || configuration == f.lastChecked {
		return
	}
	f.lastChecked = configuration
	f.checkFigures(configuration)
	f.checkRegions(configuration)
}

// checkFigures logs and counts the model server parameters that a configuration lacks.
func (f *Forwarder) checkFigures(configuration *fleet.Configuration) {
	count := 0
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		missing := service.Engine.MissingParameters()
		count += len(missing)
		if len(missing) > 0 {
			f.log.Log(logging.FiguresMissing, zap.String("service", name), zap.Strings("figures", missing),
				zap.Uint64("configuration", configuration.Version))
		}
	}
	f.metrics.missingFigures.Set(float64(count))
}
