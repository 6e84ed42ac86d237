package report

import (
	"encoding/base64"
	"html/template"
	"io"

	"github.com/sloelift/sloelift/lab/experiment"
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>sloelift lab report</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .5em;text-align:right}
td:first-child,th:first-child{text-align:left}.failed{background:#fdd}</style></head><body>
<h1>sloelift lab report</h1>
{{range .Comparisons}}<h2>Policies on {{.Comparison.Profile}}, seeds {{.Comparison.Seeds}}, medians</h2>
<table><tr><th>policy</th><th>first token p50/p95/p99 ms</th><th>p99 to online-only</th><th>inter-token p99 ms</th><th>to online-only</th>
<th>at engines: first token p99 ms</th><th>to online-only</th><th>inter-token p99 ms</th><th>to online-only</th><th>timer late p99 ms</th>
<th>items/s</th><th>tokens/s</th><th>tokens to fifo</th><th>idle used</th><th>decoded twice</th><th>failed runs</th></tr>
{{range .Comparison.Medians}}<tr{{if .Failed}} class="failed"{{end}}><td>{{.Policy}}</td>
<td>{{printf "%.1f / %.1f / %.1f" .FirstTokenP50 .FirstTokenP95 .FirstTokenP99}}</td><td>{{printf "%.3f" .FirstTokenToOnline}}</td>
<td>{{printf "%.2f" .InterTokenP99}}</td><td>{{printf "%.3f" .InterTokenToOnline}}</td>
<td>{{printf "%.1f" .EngineFirstP99}}</td><td>{{printf "%.3f" .EngineFirstToOnline}}</td><td>{{printf "%.2f" .EngineInterP99}}</td>
<td>{{printf "%.3f" .EngineInterToOnline}}</td><td>{{printf "%.1f" .TimerLatenessP99}}</td><td>{{printf "%.1f" .ItemsPerSecond}}</td>
<td>{{printf "%.0f" .TokensPerSecond}}</td><td>{{printf "%.3f" .TokensToFIFO}}</td><td>{{printf "%.3f" .IdleCapacityUsed}}</td>
<td>{{printf "%.4f" .DecodedTwiceShare}}</td><td>{{.Failed}}</td></tr>{{end}}</table>
{{range .Images}}<p><img alt="plot" src="{{.}}"></p>{{end}}{{end}}
{{if .Runs}}<h2>Scenarios</h2>
<table><tr><th>scenario</th><th>profile</th><th>seed</th><th>online completed</th><th>items completed</th><th>lost</th><th>duplicated</th>
<th>marked, most runs</th><th>after cancel</th><th>missing</th><th>cut</th><th>wrong</th><th>not_run that ran</th><th>first token p99 ms</th></tr>
{{range .Runs}}<tr{{if .Failed}} class="failed"{{end}}><td>{{.Scenario}}</td><td>{{.Profile}}</td><td>{{.Seed}}</td>
<td>{{.Verdict.OnlineCompleted}} of {{.Verdict.OnlineSent}}</td><td>{{.Verdict.ItemsCompleted}} of {{.Verdict.ItemsAccepted}}</td>
<td>{{.Verdict.Lost}}</td><td>{{.Verdict.Duplicated}}</td><td>{{.Verdict.MarkedRunsMax}}</td><td>{{.Verdict.DispatchedAfterCancel}}</td>
<td>{{.Verdict.AcknowledgedMissing}}</td><td>{{.Verdict.AnswersCut}}</td><td>{{.Verdict.AnswersWrong}}</td><td>{{.Verdict.NotRunButRan}}</td>
<td>{{printf "%.1f" .FirstToken.P99}}</td></tr>{{end}}</table>
{{range .Runs}}{{if .Verdict.Broken}}<h3>{{.Scenario}}, {{.Profile}}, seed {{.Seed}}</h3><ul>{{range .Verdict.Broken}}<li>{{.}}</li>{{end}}</ul>{{end}}{{end}}
{{end}}</body></html>
`))

type pageValues struct {
	Comparisons []comparisonValues
	Runs        []experiment.Result
}

type comparisonValues struct {
	Comparison experiment.Comparison
	Images     []template.URL
}

// Write writes the report as one HTML page with embedded plots.
func Write(out io.Writer, input Input) error {
	values := pageValues{Runs: input.Runs}
	for _, comparison := range input.Comparisons {
		images, err := comparisonPlots(comparison)
		if err != nil {
			return err
		}
		entry := comparisonValues{Comparison: comparison}
		for _, image := range images {
			entry.Images = append(entry.Images, template.URL("data:image/png;base64,"+base64.StdEncoding.EncodeToString(image)))
		}
		values.Comparisons = append(values.Comparisons, entry)
	}
	return page.Execute(out, values)
}
