package config

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sloelift/sloelift/internal/platform"
)

// Keys of the configuration in the key-value service. Every accepted file changes
// the head, so a condition on the head's ModRevision covers the whole configuration.
const (
	KeyPrefix     = "/sloelift/config/"
	KeyHead       = KeyPrefix + "head"
	keyObjects    = KeyPrefix + "objects/"
	recentWrites  = 16
	nameSeparator = "/"
)

// Write identifies one accepted change.
type Write struct {
	Revision int64  `json:"revision"`
	WriteID  string `json:"write_id"`
}

// Head is the value of KeyHead.
type Head struct {
	Write
	// Recent lists the previous writes, newest first, so that a writer whose response
	// was lost can find its own write after others have written.
	Recent []Write `json:"recent,omitempty"`
}

func (h Head) next(writeID string) Head {
	recent := append([]Write{h.Write}, h.Recent...)
	if h.Revision == 0 {
		recent = nil
	}
	return Head{Write: Write{h.Revision + 1, writeID}, Recent: recent[:min(len(recent), recentWrites)]}
}

// find returns the revision that the write created.
func (h Head) find(writeID string) (revision int64, found bool) {
	for _, write := range append([]Write{h.Write}, h.Recent...) {
		if write.WriteID == writeID {
			return write.Revision, true
		}
	}
	return 0, false
}

func decodeHead(entry platform.Entry) (Head, error) {
	var head Head
	if entry.ModRevision == 0 {
		return head, nil
	}
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, fmt.Errorf("key %s: %w", entry.Key, err)
	}
	return head, nil
}

func objectKey(id ID) string {
	return keyObjects + string(id.Kind) + nameSeparator + id.Name
}

func decodeObject(entry platform.Entry) (Declaration, error) {
	kind, name, valid := strings.Cut(strings.TrimPrefix(entry.Key, keyObjects), nameSeparator)
	value := ValueOf(Kind(kind))
	if !valid || value == nil {
		return Declaration{}, fmt.Errorf("key %s names no known kind", entry.Key)
	}
	if err := json.Unmarshal(entry.Value, value); err != nil {
		return Declaration{}, fmt.Errorf("key %s: %w", entry.Key, err)
	}
	if value.name() != name {
		return Declaration{}, fmt.Errorf("key %s holds a declaration named %q", entry.Key, value.name())
	}
	return NewDeclaration(value), nil
}

// SnapshotFromEntries builds the Snapshot from all entries below KeyPrefix, read at
// one revision. Without entries it is the empty configuration at revision 0.
func SnapshotFromEntries(entries []platform.Entry) (*Snapshot, error) {
	snapshot, _, err := readEntries(entries)
	return snapshot, err
}

func readEntries(entries []platform.Entry) (*Snapshot, platform.Entry, error) {
	headEntry := platform.Entry{Key: KeyHead}
	var declarations []Declaration
	for _, entry := range entries {
		switch {
		case entry.Key == KeyHead:
			headEntry = entry
		case strings.HasPrefix(entry.Key, keyObjects):
			declaration, err := decodeObject(entry)
			if err != nil {
				return nil, headEntry, err
			}
			declarations = append(declarations, declaration)
		}
	}
	head, err := decodeHead(headEntry)
	if err != nil {
		return nil, headEntry, err
	}
	snapshot, err := BuildSnapshot(head.Revision, declarations)
	return snapshot, headEntry, err
}
