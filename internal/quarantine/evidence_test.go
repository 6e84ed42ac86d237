package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// keyOf returns the key of the test message with the given name.
func keyOf(name string) Key { return Message{Method: "POST", Target: "/" + name}.Key() }

// observation is either the end of a replica while the named messages ran there, or the completion of a message.
type observation struct {
	at        time.Duration
	replica   replica.Key
	messages  []string
	ran       time.Duration
	completed string
}

// replay returns a store with the given observations.
func replay(observations []observation) *evidenceStore {
	start := time.Unix(1_000_000, 0)
	store := newEvidenceStore()
	for _, observed := range observations {
		if observed.completed != "" {
			store.clear(keyOf(observed.completed), entireAnswer)
			continue
		}
		for _, name := range observed.messages {
			store.add(observed.replica, start.Add(observed.at), keyOf(name), suspect{runDuration: observed.ran, reachedKnown: true})
		}
	}
	return store
}

func TestVerdictFromObservations(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name         string
		observations []observation
		want         map[string]Verdict
	}{
		{"nothing known", nil, map[string]Verdict{"a": Allowed}},
		{"one end under one message", []observation{{at: 0, replica: 1, messages: []string{"a"}}}, map[string]Verdict{"a": Apart, "b": Allowed}},
		{"two ends under the same message alone", []observation{
			{at: 0, replica: 1, messages: []string{"a"}}, {at: second, replica: 2, messages: []string{"a"}},
		}, map[string]Verdict{"a": Rejected}},
		{"one message explains what ran beside it", []observation{
			{at: 0, replica: 1, messages: []string{"a", "b", "c", "d"}}, {at: second, replica: 2, messages: []string{"a", "e"}},
		}, map[string]Verdict{"a": Rejected, "b": Allowed, "c": Allowed, "d": Allowed, "e": Allowed}},
		{"two messages that ran beside each other twice", []observation{
			{at: 0, replica: 1, messages: []string{"a", "b"}}, {at: second, replica: 2, messages: []string{"a", "b"}},
		}, map[string]Verdict{"a": Apart, "b": Apart}},
		{"one of two messages completes, which leaves the other", []observation{
			{at: 0, replica: 1, messages: []string{"a", "b"}}, {at: second, replica: 2, messages: []string{"a", "b"}}, {completed: "b"},
		}, map[string]Verdict{"a": Rejected, "b": Allowed}},
		{"three ends under both of two messages", []observation{
			{at: 0, replica: 1, messages: []string{"a", "b"}},
			{at: second, replica: 2, messages: []string{"a", "b"}},
			{at: 2 * second, replica: 3, messages: []string{"a", "b"}},
		}, map[string]Verdict{"a": Rejected, "b": Rejected}},
		{"a whole run clears", []observation{
			{at: 0, replica: 1, messages: []string{"a"}}, {completed: "a"},
		}, map[string]Verdict{"a": Allowed}},
		{"an end before a whole run does not count again", []observation{
			{at: 0, replica: 1, messages: []string{"a"}}, {completed: "a"}, {at: second, replica: 2, messages: []string{"a"}},
		}, map[string]Verdict{"a": Apart}},
		{"two ends of long runs do not reject", []observation{
			{at: 0, replica: 1, messages: []string{"a"}, ran: 20 * second}, {at: 30 * second, replica: 2, messages: []string{"a"}, ran: 20 * second},
		}, map[string]Verdict{"a": Apart}},
		{"three ends of long runs reject", []observation{
			{at: 0, replica: 1, messages: []string{"a"}, ran: 20 * second}, {at: 30 * second, replica: 2, messages: []string{"a"}, ran: 20 * second},
			{at: 60 * second, replica: 3, messages: []string{"a"}, ran: 20 * second},
		}, map[string]Verdict{"a": Rejected}},
		{"a popular message at two replicas that end together", []observation{
			{at: 0, replica: 1, messages: []string{"a", "b"}}, {at: 5 * time.Millisecond, replica: 2, messages: []string{"a", "c"}},
		}, map[string]Verdict{"a": Apart, "b": Apart}},
		{"a popular message at three of four replicas that end together", []observation{
			{at: 0, replica: 1, messages: []string{"a"}}, {at: time.Millisecond, replica: 2, messages: []string{"a"}},
			{at: 2 * time.Millisecond, replica: 3, messages: []string{"a"}}, {at: 3 * time.Millisecond, replica: 4, messages: []string{"b"}},
		}, map[string]Verdict{"a": Apart, "b": Apart}},
		{"a message at all three replicas that end together", []observation{
			{at: 0, replica: 1, messages: []string{"a"}},
			{at: time.Millisecond, replica: 2, messages: []string{"a", "b"}},
			{at: 2 * time.Millisecond, replica: 3, messages: []string{"a", "c"}},
		}, map[string]Verdict{"a": Rejected}},
		{"the same replica counts once", []observation{
			{at: 0, replica: 1, messages: []string{"a"}}, {at: second, replica: 1, messages: []string{"a"}},
		}, map[string]Verdict{"a": Apart}},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := replay(test.observations)
			for name, want := range test.want {
				if got := store.verdict(keyOf(name)); got != want {
					t.Errorf("verdict on %s is %s, want %s", name, got, want)
				}
			}
		})
	}
}

func TestSixteenBystandersAreSentAgain(t *testing.T) {
	names := []string{"cause"}
	for number := range 16 {
		names = append(names, fmt.Sprintf("bystander-%d", number))
	}
	store := replay([]observation{
		{replica: 1, messages: names},
		{at: time.Second, replica: 2, messages: []string{"cause", "bystander-3"}},
		{completed: "bystander-3"},
	})
	if got := store.verdict(keyOf("cause")); got != Rejected {
		t.Errorf("verdict on the cause is %s, want rejected", got)
	}
	for _, name := range names[1:] {
		if got := store.verdict(keyOf(name)); got != Allowed {
			t.Errorf("verdict on %s is %s", name, got)
		}
	}
}

// TestItemThatRanBesideManyIsNotTheCause guards an item that ran at three replicas when they ended, each time beside
// many other messages, and once beside a message that is known to crash replicas.
func TestItemThatRanBesideManyIsNotTheCause(t *testing.T) {
	othersOfRound := func(round, count int) []string {
		var names []string
		for number := range count {
			names = append(names, fmt.Sprintf("other-%d-%d", round, number))
		}
		return names
	}
	store := replay([]observation{
		{at: 0, replica: 1, messages: append(othersOfRound(1, 4), "cause"), ran: 90 * time.Millisecond},
		{at: 170 * time.Millisecond, replica: 2, messages: append(othersOfRound(2, 3), "cause", "item"), ran: 500 * time.Millisecond},
		{at: 350 * time.Millisecond, replica: 3, messages: append(othersOfRound(3, 4), "cause"), ran: 90 * time.Millisecond},
		{at: 680 * time.Millisecond, replica: 4, messages: append(othersOfRound(4, 10), "item"), ran: 500 * time.Millisecond},
		{at: 2 * time.Second, replica: 5, messages: append(othersOfRound(5, 12), "item"), ran: 1300 * time.Millisecond},
	})
	if got := store.verdict(keyOf("cause")); got != Rejected {
		t.Errorf("verdict on the cause is %s, want rejected", got)
	}
	if got := store.verdict(keyOf("item")); got != Apart {
		t.Errorf("verdict on the item is %s, want apart", got)
	}
}

// TestEndsUnderGrantCountDespiteOtherCause guards the bound of three ended replicas when another message that crashes
// replicas ran at the same two replicas, each time beside many others.
func TestEndsUnderGrantCountDespiteOtherCause(t *testing.T) {
	crowd := func(round int) []string {
		names := []string{"cause", "other"}
		for number := range 8 {
			names = append(names, fmt.Sprintf("crowd-%d-%d", round, number))
		}
		return names
	}
	store := replay([]observation{
		{at: 0, replica: 1, messages: []string{"other"}},
		{at: time.Second, replica: 2, messages: []string{"other"}},
		{at: 2 * time.Second, replica: 3, messages: []string{"cause"}},
		{at: 3 * time.Second, replica: 4, messages: crowd(1)}, {at: 4 * time.Second, replica: 5, messages: crowd(2)},
	})
	for _, number := range []replica.Key{4, 5} {
		store.incidents[number].suspects[keyOf("cause")].granted = true
	}
	if got := store.verdict(keyOf("cause")); got != Rejected {
		t.Errorf("verdict on the cause is %s, want rejected", got)
	}
}

// TestPopularMessageIsNotTheCause guards a message of many callers that ran beside each of three messages that crash
// replicas, before any of them was suspected, and once under a grant.
func TestPopularMessageIsNotTheCause(t *testing.T) {
	store := replay([]observation{
		{at: 0, replica: 1, messages: []string{"one"}},
		{at: 100 * time.Millisecond, replica: 2, messages: []string{"two"}},
		{at: 200 * time.Millisecond, replica: 3, messages: []string{"three"}},
		{at: 300 * time.Millisecond, replica: 4, messages: []string{"popular", "three"}},
		{at: 400 * time.Millisecond, replica: 5, messages: []string{"popular", "two"}},
		{at: 500 * time.Millisecond, replica: 6, messages: []string{"popular", "one"}}, {at: 600 * time.Millisecond, replica: 7, messages: []string{"two"}},
		{at: 700 * time.Millisecond, replica: 8, messages: []string{"three"}}, {at: 800 * time.Millisecond, replica: 9, messages: []string{"one"}},
	})
	store.incidents[6].suspects[keyOf("popular")].granted = true
	for _, cause := range []string{"one", "two", "three"} {
		if got := store.verdict(keyOf(cause)); got != Rejected {
			t.Errorf("verdict on %s is %s", cause, got)
		}
	}
	if got := store.verdict(keyOf("popular")); got == Rejected {
		t.Errorf("verdict on the popular message is %s", got)
	}
}

func TestBooksJoinInAnyOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	one := replay([]observation{{replica: 1, messages: []string{"a", "b"}}, {completed: "b"}})
	other := replay([]observation{{replica: 1, messages: []string{"b", "c"}}, {at: time.Second, replica: 2, messages: []string{"a"}}})
	oneFirst, otherFirst := newEvidenceStore(), newEvidenceStore()
	oneFirst.join(one.encodeAll(now), now)
	oneFirst.join(other.encodeAll(now.Add(time.Second)), now.Add(time.Second))
	otherFirst.join(other.encodeAll(now.Add(time.Second)), now.Add(time.Second))
	otherFirst.join(one.encodeAll(now), now)
	otherFirst.join(one.encodeAll(now), now)
	for _, name := range []string{"a", "b", "c"} {
		if oneFirst.verdict(keyOf(name)) != otherFirst.verdict(keyOf(name)) {
			t.Errorf("verdict on %s is %s in one order of merging and %s in the other", name, oneFirst.verdict(keyOf(name)), otherFirst.verdict(keyOf(name)))
		}
	}
	if got := oneFirst.verdict(keyOf("a")); got != Rejected {
		t.Errorf("verdict on a is %s, want rejected", got)
	}
	if got := oneFirst.verdict(keyOf("b")); got != Allowed {
		t.Errorf("verdict on b is %s, want allowed", got)
	}
}

func TestBookIsBounded(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	store := newEvidenceStore()
	store.add(1, start, keyOf("cause"), suspect{})
	store.add(2, start.Add(time.Second), keyOf("cause"), suspect{})
	for ended := range replica.Key(3 * maxIncidents) {
		for number := range 2 * maxSuspects {
			store.add(100+ended, start.Add(time.Duration(ended+2)*time.Second), keyOf(fmt.Sprintf("%d-%d", ended, number)), suspect{})
		}
	}
	if len(store.incidents) > maxIncidents {
		t.Errorf("%d incidents are stored, more than maxIncidents", len(store.incidents))
	}
	if most := maxIncidents * maxSuspects; len(store.byMessage) > most {
		t.Errorf("%d messages are stored, more than %d", len(store.byMessage), most)
	}
	if got := store.verdict(keyOf("cause")); got != Rejected {
		t.Errorf("a rejected message was evicted before suspected ones: its verdict is %s", got)
	}
}

func TestBookForgets(t *testing.T) {
	store := replay([]observation{{replica: 1, messages: []string{"a"}}, {at: time.Second, replica: 2, messages: []string{"a"}}})
	store.expire(time.Unix(1_000_000, 0).Add(retention + time.Second))
	if len(store.incidents)+len(store.byMessage) != 0 {
		t.Errorf("%d incidents and %d messages are left after retention, want none", len(store.incidents), len(store.byMessage))
	}
}

func TestKeyIsWhatAttemptsShare(t *testing.T) {
	text := Message{Method: "POST", Host: "h", Target: "/p?q", Body: []byte("text"), PromptParts: "a:1,b:2"}
	bare := Message{Method: "GET", Host: "h", Target: "/p?q", PromptParts: "a:1,b:2"}
	change := func(of Message, how func(*Message)) Message {
		how(&of)
		return of
	}
	for _, test := range []struct {
		name       string
		one, other Message
		same       bool
	}{
		{"the same message", text, change(text, func(m *Message) { m.Body = []byte("text") }), true},
		{"another body", text, change(text, func(m *Message) { m.Body = []byte("texts") }), false},
		{"other parts of the same body", text, change(text, func(m *Message) { m.PromptParts = "a:1,c:2" }), true},
		{"other parts without a body", bare, change(bare, func(m *Message) { m.PromptParts = "a:1,c:2" }), false},
		{"another method", text, change(text, func(m *Message) { m.Method = "PUT" }), false},
		{"another host", text, change(text, func(m *Message) { m.Host = "g" }), false},
		{"the host in upper case", text, change(text, func(m *Message) { m.Host = "H" }), true},
		{"another path", text, change(text, func(m *Message) { m.Target = "/r?q" }), false},
		{"another query of the same body", text, change(text, func(m *Message) { m.Target = "/p" }), true},
		{"another query without a body", bare, change(bare, func(m *Message) { m.Target = "/p?r" }), false},
		{"other fields with the same concatenation", text, change(text, func(m *Message) { m.Method, m.Host = "POSTh", "" }), false},
	} {
		if same := test.one.Key() == test.other.Key(); same != test.same {
			t.Errorf("%s: same key is %t, want %t", test.name, same, test.same)
		}
	}
}

// TestKeyMatchesPreviousBuild guards against a change of the digest: nodes of two builds run side by side during an
// upgrade, and must count the same items together.
func TestKeyMatchesPreviousBuild(t *testing.T) {
	for want, message := range map[string]Message{
		"9119a2aa1cdc": {Method: "POST", Host: "h", Target: "/jobs/1", PromptParts: "a:1,b:2"},
		"23c128f0595d": {Method: "POST", Host: "h", Target: "/jobs/1", Body: []byte("text")},
	} {
		if got := message.Key().String(); got != want {
			t.Errorf("key of %+v is %s, want %s", message, got, want)
		}
	}
}
