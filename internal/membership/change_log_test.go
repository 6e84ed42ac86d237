package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// However many members change at once, at most maxChangesLogged+1 lines are written, and they
// account for every change.
func TestChangeLogIsBounded(t *testing.T) {
	for _, members := range []int{maxChangesLogged, 1000, 2000} {
		var written bytes.Buffer
		log := newChangeLog(zerolog.New(&written))
		now := time.Unix(1000, 0)
		for number := range members {
			for _, kind := range []changeKind{changeJoined, changeSuspect} {
				log.add(changeAction{id: NodeID(fmt.Sprint("n", number)), kind: kind}, now)
			}
		}
		log.tick(now.Add(changeLogPeriod - time.Millisecond))
		log.tick(now.Add(changeLogPeriod))
		log.tick(now.Add(2 * changeLogPeriod))
		lines, counted := 0, 0
		for _, line := range bytes.Split(bytes.TrimSpace(written.Bytes()), []byte("\n")) {
			var fields map[string]any
			if err := json.Unmarshal(line, &fields); err != nil {
				t.Fatal(err)
			}
			lines++
			if fields["message"] == "member_changed" {
				counted++
				continue
			}
			for _, kind := range []changeKind{changeJoined, changeSuspect} {
				if count, is := fields[string(kind)].(float64); is {
					counted += int(count)
				}
			}
		}
		if most := maxChangesLogged + 1; lines > most || counted != 2*members {
			t.Errorf("%d members: %d lines, want at most %d; they account for %d changes, want %d", members, lines, most, counted, 2*members)
		}
	}
}

// Changes within the rate limit are logged individually, in each period again.
func TestCalmChangesAreLoggedOneByOne(t *testing.T) {
	var written bytes.Buffer
	log := newChangeLog(zerolog.New(&written))
	const periods = 3
	for number := range periods * maxChangesLogged {
		now := time.Unix(1000, 0).Add(time.Duration(number) * changeLogPeriod / maxChangesLogged)
		log.add(changeAction{id: "n", kind: changeDead}, now)
	}
	log.flush()
	if lines := bytes.Count(written.Bytes(), []byte("member_changed\"")); lines != periods*maxChangesLogged {
		t.Errorf("%d member_changed lines for %d changes", lines, periods*maxChangesLogged)
	}
}
