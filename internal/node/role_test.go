package node

import (
	"context"
	"errors"
	"testing"

	"github.com/rs/zerolog"
)

// TestPlannedStopDuringTheStartIsNoFailure: storage nodes that were restarted in series and signalled to stop while they started ended with
// exit status 1 and the line "sloelift: context canceled", as if they had failed.
func TestPlannedStopDuringTheStartIsNoFailure(t *testing.T) {
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if err := failureOfStart(stopped, context.Canceled, zerolog.Nop()); err != nil {
		t.Errorf("a planned stop is the failure %v", err)
	}
	wanted := errors.New("address already in use")
	if err := failureOfStart(t.Context(), wanted, zerolog.Nop()); err != wanted {
		t.Errorf("a start that failed by itself is %v, want %v", err, wanted)
	}
}
