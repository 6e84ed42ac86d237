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

// listBody is a page of a list in the OpenAI API.
type listBody[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// page is the part of a list that a caller requests: up to limit items after the id after.
type page struct {
	after string
	limit int
}

func parsePage(r *http.Request) (page, error) {
	query := r.URL.Query()
	requested := page{after: query.Get("after"), limit: defaultPageLimit}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return page{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "limit: must be a number above 0")
		}
		requested.limit = min(limit, maxPageLimit)
	}
	return requested, nil
}

// newListBody returns a page of the fetched items, of which one more than requested was fetched to
// know whether more follow.
func newListBody[F, T any](fetched []F, requested page, convert func(F) T, id func(T) string) listBody[T] {
	answer := listBody[T]{Object: objectList, Data: []T{}, HasMore: len(fetched) > requested.limit}
	for _, item := range fetched[:min(len(fetched), requested.limit)] {
		answer.Data = append(answer.Data, convert(item))
	}
	if len(answer.Data) > 0 {
		answer.FirstID = id(answer.Data[0])
		answer.LastID = id(answer.Data[len(answer.Data)-1])
	}
	return answer
}
