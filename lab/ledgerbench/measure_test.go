package ledgerbench

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMeasurementsRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	result, err := MeasureAppends(t.Context(), t.TempDir(), Case{
		Replicas: 4, WriteQuorum: 3, Partitions: 2, RecordBytes: 100, Writers: 2, Duration: 50 * time.Millisecond,
	})
	if err != nil || result.FailedAppends > 0 {
		t.Fatalf("%+v: %v", result, err)
	}
	recovery, err := MeasureRecovery(t.Context(), t.TempDir(), 700, 100)
	if err != nil || recovery.Records != 700 {
		t.Fatalf("%+v: %v", recovery, err)
	}
}
