package node

import (
	"context"
	"errors"
	"testing"

	"github.com/rs/zerolog"
)

// TestPlannedStopDuringTheStartIsNoFailure: storage nodes that were told to stop while they started, during a rolling restart, exited with
// status 1 and the line "sloelift: context canceled", as if they had failed.
func TestPlannedStopDuringTheStartIsNoFailure(t *testing.T) {
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if err := startError(stopped, context.Canceled, zerolog.Nop()); err != nil {
		t.Errorf("a planned stop during the start returned %v, want no error", err)
	}
	wanted := errors.New("address already in use")
	if err := startError(t.Context(), wanted, zerolog.Nop()); err != wanted {
		t.Errorf("a failed start returned %v, want %v", err, wanted)
	}
}
