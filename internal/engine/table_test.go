package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"
)

func TestTables(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "stream":
				return runStream(t, d)
			case "body":
				return runBody(t, d)
			case "parse":
				return runParse(t, d)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func runStream(t *testing.T, d *datadriven.TestData) string {
	offset := 0
	if d.HasArg("offset") {
		d.ScanArgs(t, "offset", &offset)
	}
	// The test data has "." for the blank line that ends an event.
	input := strings.ReplaceAll(d.Input+"\n", "\n.\n", "\n\n")
	if d.HasArg("long") {
		input += "data: " + strings.Repeat("x", maxStreamLineBytes+streamBufferBytes) + "\n\n"
	}
	stream := newEventStream(io.NopCloser(strings.NewReader(input)), func() {}, func(int) {}, "a", offset)
	defer stream.Close()
	var out strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			out.WriteString("end\n")
			return out.String()
		}
		if err != nil {
			fmt.Fprintf(&out, "lost=%t %v\n", errorx.IsOfType(err, KindLost), err)
			return out.String()
		}
		fmt.Fprintf(&out, "%d+%d %q", chunk.Offset, chunk.Tokens, chunk.Text)
		if chunk.FinishReason != "" {
			fmt.Fprintf(&out, " finish=%s", chunk.FinishReason)
		}
		if chunk.Usage != nil {
			fmt.Fprintf(&out, " usage=%+v", *chunk.Usage)
		}
		out.WriteByte('\n')
	}
}

func runBody(t *testing.T, d *datadriven.TestData) string {
	request := Request{Body: json.RawMessage(d.Input)}
	if d.HasArg("offset") {
		d.ScanArgs(t, "offset", &request.Offset)
	}
	if d.HasArg("prior") {
		d.ScanArgs(t, "prior", &request.Prior)
	}
	if d.HasArg("model") {
		d.ScanArgs(t, "model", &request.Model)
	}
	body, err := generationBody(request)
	if err != nil {
		return "error: " + err.Error()
	}
	return string(body)
}

func runParse(t *testing.T, d *datadriven.TestData) string {
	var operation string
	d.ScanArgs(t, "operation", &operation)
	parsed, err := ParseGeneration(Operation(operation), []byte(d.Input))
	if err != nil {
		return "error: " + err.Error()
	}
	return fmt.Sprintf("%+v", parsed)
}
