package gateway

import (
	"net/http"
	"strconv"

	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	objectList       = "list"
	defaultPageLimit = 20
	maxPageLimit     = 100
)

// listBody is OpenAI's page of a list.
type listBody[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// page is what a caller asks of a list.
type page struct {
	after string
	limit int
}

func pageOf(r *http.Request) (page, error) {
	query := r.URL.Query()
	asked := page{after: query.Get("after"), limit: defaultPageLimit}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return page{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "limit: must be a number above 0")
		}
		asked.limit = min(limit, maxPageLimit)
	}
	return asked, nil
}

// makePage makes a page of items, of which one more than asked for was fetched.
func makePage[F, T any](fetched []F, asked page, convert func(F) T, id func(T) string) listBody[T] {
	answer := listBody[T]{Object: objectList, Data: []T{}, HasMore: len(fetched) > asked.limit}
	for _, item := range fetched[:min(len(fetched), asked.limit)] {
		answer.Data = append(answer.Data, convert(item))
	}
	if len(answer.Data) > 0 {
		answer.FirstID = id(answer.Data[0])
		answer.LastID = id(answer.Data[len(answer.Data)-1])
	}
	return answer
}
