package roles

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	wire "github.com/sloelift/sloelift/platform"
)

// takenUp counts how streams went on that their callers took up.
type takenUp struct {
	mutex sync.Mutex
	// ofNewVersion counts the streams that the new version began; wentOn, mixed and refused tell how all went on.
	ofNewVersion, wentOn, mixed, refused int
}

func (t *takenUp) note(began, wentOn string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if began == "v2" {
		t.ofNewVersion++
	}
	switch wentOn {
	case "":
		t.refused++
	case began:
		t.wentOn++
	default:
		t.mixed++
	}
}

// readEvents sends a request for a stream to an edge and reads events, all if most is 0. The request goes on after the event with the given
// number, and names nothing else of the stream. It returns the version that wrote the first event, "" if there was none.
func readEvents(ctx context.Context, clients *callers, edge *machine, payload work, after, most int) (version string) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	sent := &onlineAttempt{id: draw(clients, newID), path: pathAsk, stream: &streamAttempt{}}
	request := clients.newRequest(ctx, edge, sent, payload, time.Now().Add(callerTimeout))
	if after > 0 {
		request.Header.Set(wire.Headers.LastEventID, strconv.Itoa(after))
	}
	response, err := clients.fresh.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ""
	}
	lines := bufio.NewScanner(response.Body)
	for number := after + 1; lines.Scan(); {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if version == "" {
			version, _ = payload.versionOf(clients.fleet.options.versions(), number, data)
		}
		if number++; most > 0 && number > after+most {
			return version
		}
	}
	return version
}

// play begins streams at edges, breaks each off on the way, and takes it up at another edge.
func (t *takenUp) play(ctx context.Context, clients *callers, streams int, began []*machine, resumedAt *machine) *sync.WaitGroup {
	const events, eventsRead = 60, 10
	var reading sync.WaitGroup
	for number := range streams {
		reading.Go(func() {
			payload := work{Events: events, Mark: draw(clients, newID)}
			first := readEvents(ctx, clients, pick(began, number), payload, 0, eventsRead)
			if first != "" {
				t.note(first, readEvents(ctx, clients, resumedAt, payload, eventsRead, 0))
			}
		})
	}
	return &reading
}

// TestStreamOfAVersionThatAnEdgeMissedIsNotResumedAtAnother plays the built program: an edge stands still while replicas of a new version
// join. Streams that these began at another edge break off, and are taken up at the first by callers that name nothing but the last event.
// As it went on, the edge took the first old heartbeat in its sockets for news, and let streams go on at the version that it knew.
func TestStreamOfAVersionThatAnEdgeMissedIsNotResumedAtAnother(t *testing.T) {
	if testing.Short() {
		t.Skip("plays real processes for half a minute")
	}
	const (
		// soleVersionTime is longer than a service must have had one version for a stream to be taken for one of it.
		soleVersionTime = 12 * time.Second
		stands          = 2 * time.Second
		streams         = 40
	)
	options := Options{Program: buildProgram(t), Template: settingsTemplate, Zones: 3, Edges: 3, Stores: 3, Replicas: 4}
	played, err := startFleet(t.Context(), options, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer played.close()
	// From here on two versions are known to the callers; the replicas that have started are of the first.
	played.options.Versions = 2
	clients := newCallers(played, 1)
	defer clients.close()
	pause.Sleep(t.Context(), soleVersionTime)
	edges := played.machinesOf(classEdge)
	resumedAt, began := edges[0], edges[1:]
	var calm takenUp
	calm.play(t.Context(), clients, streams, began, resumedAt).Wait()
	t.Logf("one version: %d went on, %d refused", calm.wentOn, calm.refused)
	if calm.wentOn < streams/2 {
		t.Errorf("%d of %d streams went on while there was one version", calm.wentOn, streams)
	}
	resumedAt.pause(true)
	pause.Sleep(t.Context(), 300*time.Millisecond)
	for number := range 4 {
		if err := played.addReplica("", "v2", anyAddress, options.zone(number)); err != nil {
			t.Fatal(err)
		}
	}
	// Edges learn of the replicas within this time.
	pause.Sleep(t.Context(), 900*time.Millisecond)
	var result takenUp
	reading := result.play(t.Context(), clients, streams, began, resumedAt)
	pause.Sleep(t.Context(), stands-1200*time.Millisecond)
	resumedAt.pause(false)
	reading.Wait()
	t.Logf("%d streams of the new version, %d went on, %d refused, %d of two versions", result.ofNewVersion, result.wentOn, result.refused, result.mixed)
	if result.ofNewVersion == 0 {
		t.Error("nothing was shown: no stream began at the new version")
	}
	if result.mixed > 0 {
		t.Errorf("%d streams went on at another version than the one that began them", result.mixed)
	}
}
