package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/internal/catalog"
)

// faultyRecordCollector exports the number of invalid server records as a metric, by kind of fault.
type faultyRecordCollector struct {
	catalog     *catalog.Catalog
	description *prometheus.Desc
}

func newFaultyRecordCollector(source *catalog.Catalog) *faultyRecordCollector {
	return &faultyRecordCollector{catalog: source, description: prometheus.NewDesc(
		"pinevane_faulty_records_total", "Records of servers that could not be used, each time that one was read.", []string{"fault"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *faultyRecordCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.description
}

// Collect implements prometheus.Collector.
func (c *faultyRecordCollector) Collect(metrics chan<- prometheus.Metric) {
	for kind, count := range c.catalog.FaultyRecords() {
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.CounterValue, float64(count), string(kind))
	}
}
