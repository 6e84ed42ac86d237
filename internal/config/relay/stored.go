package relay

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/platform"
)

// relativeHead is the head's key relative to config.KeyPrefix. The head is not an object.
var relativeHead = strings.TrimPrefix(config.KeyHead, config.KeyPrefix)

func headRevision(value []byte) (int64, error) {
	var head config.Head
	if err := json.Unmarshal(value, &head); err != nil {
		return 0, fmt.Errorf("key %s: %w", config.KeyHead, err)
	}
	return head.Revision, nil
}

// documentOf returns the document of a listing of config.KeyPrefix. Its revision is 0 if
// there is no head.
func documentOf(listing platform.Listing) (*document, error) {
	objects := make(map[string][]byte, len(listing.Entries))
	var revision int64
	for _, entry := range listing.Entries {
		key := strings.TrimPrefix(entry.Key, config.KeyPrefix)
		if key != relativeHead {
			objects[key] = entry.Value
			continue
		}
		found, err := headRevision(entry.Value)
		if err != nil {
			return nil, err
		}
		revision = found
	}
	return newDocument(revision, listing.Revision, objects), nil
}

// deltaOf returns the delta of a watch event, without its hash, which is set when the delta
// is applied. An event without the head is an error, since every accepted file changes the
// head.
func deltaOf(event platform.WatchEvent) (*delta, error) {
	read := &delta{storeRevision: event.Revision, changed: make(map[string][]byte, len(event.Changed))}
	headSeen := false
	for _, entry := range event.Changed {
		key := strings.TrimPrefix(entry.Key, config.KeyPrefix)
		if key != relativeHead {
			read.changed[key] = entry.Value
			continue
		}
		revision, err := headRevision(entry.Value)
		if err != nil {
			return nil, err
		}
		read.revision, headSeen = revision, true
	}
	for _, key := range event.Deleted {
		read.withdrawn = append(read.withdrawn, strings.TrimPrefix(key, config.KeyPrefix))
	}
	if !headSeen {
		return nil, fmt.Errorf("store revision %d changes the configuration without its head", event.Revision)
	}
	return read, nil
}

// snapshotOf parses a document.
func snapshotOf(from *document) (*config.Snapshot, error) {
	head, err := json.Marshal(config.Head{Write: config.Write{Revision: from.revision}})
	if err != nil {
		return nil, err
	}
	entries := []platform.Entry{{Key: config.KeyHead, Value: head, ModRevision: 1}}
	for key, value := range from.objects {
		entries = append(entries, platform.Entry{Key: config.KeyPrefix + key, Value: value, ModRevision: 1})
	}
	return config.SnapshotFromEntries(entries)
}
