package engine

import (
	"encoding/json"
)

// resumeField is the body field "resume", which gives another engine the answer so far.
type resumeField struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

var jsonTrue = json.RawMessage("true")

// generationBody returns the body to send to the engine: with "stream" set to true, with the
// request's model if it has one, and with the answer so far in "resume" if the request resumes it.
func generationBody(request Request) ([]byte, error) {
	if request.BodyReady && request.Offset == 0 {
		return request.Body, nil
	}
	fields := map[string]json.RawMessage{}
	if len(request.Body) > 0 {
		if err := json.Unmarshal(request.Body, &fields); err != nil {
			return nil, err
		}
	}
	if fields == nil {
		fields = map[string]json.RawMessage{}
	}
	fields["stream"] = jsonTrue
	delete(fields, "resume")
	if request.Model != "" {
		name, err := json.Marshal(request.Model)
		if err != nil {
			return nil, err
		}
		fields["model"] = name
	}
	if request.Offset > 0 && request.Prior != "" {
		resume, err := json.Marshal(resumeField{Offset: request.Offset, Text: request.Prior})
		if err != nil {
			return nil, err
		}
		fields["resume"] = resume
	}
	return json.Marshal(fields)
}
