package report

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/sloelift/sloelift/lab/experiment"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14
)

// series is one group of bars.
type series struct {
	name   string
	values []float64
}

// barChart draws groups of bars and returns a PNG.
func barChart(title, unit string, labels []string, groups []series) ([]byte, error) {
	chart := plot.New()
	chart.Title.Text = title
	chart.Y.Label.Text = unit
	chart.Y.Min = 0
	chart.Legend.Top = true
	for index, group := range groups {
		bars, err := plotter.NewBarChart(plotter.Values(group.values), vg.Points(barWidth))
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", title, err)
		}
		bars.Color = plotutil.Color(index)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(index) - float64(len(groups)-1)/2))
		chart.Add(bars)
		chart.Legend.Add(group.name, bars)
	}
	chart.NominalX(labels...)
	writer, err := chart.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, fmt.Errorf("plot %s: %w", title, err)
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return nil, err
	}
	return image.Bytes(), nil
}

// comparisonPlots draws the plots of a comparison as PNG images.
func comparisonPlots(comparison experiment.Comparison) ([][]byte, error) {
	var labels []string
	valuesOf := func(value func(experiment.PolicySummary) float64) []float64 {
		var values []float64
		for _, summary := range comparison.Medians {
			values = append(values, value(summary))
		}
		return values
	}
	for _, summary := range comparison.Medians {
		labels = append(labels, string(summary.Policy))
	}
	charts := []struct {
		title, unit string
		groups      []series
	}{
		{"Online first token", "ms", []series{
			{"p50", valuesOf(func(s experiment.PolicySummary) float64 { return s.FirstTokenP50 })},
			{"p95", valuesOf(func(s experiment.PolicySummary) float64 { return s.FirstTokenP95 })},
			{"p99", valuesOf(func(s experiment.PolicySummary) float64 { return s.FirstTokenP99 })},
		}},
		{"Online inter-token", "ms", []series{
			{"p50", valuesOf(func(s experiment.PolicySummary) float64 { return s.InterTokenP50 })},
			{"p95", valuesOf(func(s experiment.PolicySummary) float64 { return s.InterTokenP95 })},
			{"p99", valuesOf(func(s experiment.PolicySummary) float64 { return s.InterTokenP99 })},
		}},
		{"Online p99 at engines, in engine time", "ms", []series{
			{"first token", valuesOf(func(s experiment.PolicySummary) float64 { return s.EngineFirstP99 })},
			{"inter-token", valuesOf(func(s experiment.PolicySummary) float64 { return s.EngineInterP99 })},
		}},
		{"Batch throughput", "items/s", []series{
			{"items/s", valuesOf(func(s experiment.PolicySummary) float64 { return s.ItemsPerSecond })},
		}},
		{"Share of idle capacity used", "share", []series{
			{"used", valuesOf(func(s experiment.PolicySummary) float64 { return s.IdleCapacityUsed })},
		}},
	}
	var images [][]byte
	for _, chart := range charts {
		image, err := barChart(comparison.Profile+": "+chart.title, chart.unit, labels, chart.groups)
		if err != nil {
			return nil, err
		}
		images = append(images, image)
	}
	return images, nil
}
