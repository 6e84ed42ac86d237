package deployment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"text/template"

	"github.com/sloelift/sloelift/lab/load"
)

// Versions of the model. Engines start with modelVersion, which is declared initially;
// the weight store has both.
const (
	modelVersion = "1"
	nextVersion  = "2"
)

// Ranks of the declared priorities. Engines treat ranks of labengine.OnlineRank and above as online.
const (
	rankOnline = 900
	rankUrgent = 200
	rankBatch  = 100
)

var configurationTemplate = template.Must(template.New("configuration").Parse(`kind: Model
name: {{.Model}}
version: "{{.Version}}"
contextTokens: 16384
---
kind: Service
name: {{.Service}}
models: [{{.Model}}]
maxConcurrentPerReplica: {{.Streams}}
batchConcurrentPerReplica: {{.BatchStreams}}
queueLimit: {{.QueueLimit}}
requestTimeout: 60s
retryBudgetPercent: 20
---
kind: Priority
name: {{.Online}}
rank: {{.OnlineRank}}
online: true
---
kind: Priority
name: {{.Urgent}}
rank: {{.UrgentRank}}
online: false
---
kind: Priority
name: {{.Batch}}
rank: {{.BatchRank}}
online: false
---
kind: Tenant
name: {{.Tenant}}
keyDigests: ["{{.KeyDigest}}"]
requestsPerSecond: 0
burst: 0
maxConcurrent: 0
weight: 1
maxJobItems: 0
`))

type configurationValues struct {
	Model, Version, Service           string
	Streams, BatchStreams, QueueLimit int
	Online, Urgent, Batch             string
	OnlineRank, UrgentRank, BatchRank int
	Tenant, KeyDigest                 string
}

// Configuration returns the operators' file of a deployment.
func Configuration(options Options) ([]byte, error) {
	digest := sha256.Sum256([]byte(load.TenantKey))
	var file bytes.Buffer
	err := configurationTemplate.Execute(&file, configurationValues{
		Model: options.Profile.Model, Version: options.version, Service: options.Profile.Service,
		Streams: options.MaxConcurrentPerReplica, BatchStreams: options.BatchConcurrentPerReplica,
		QueueLimit: defaultQueueLimit + options.configurationChange,
		Online:     load.PriorityOnline, Urgent: load.PriorityUrgent, Batch: load.PriorityBatch,
		OnlineRank: rankOnline, UrgentRank: rankUrgent, BatchRank: rankBatch,
		Tenant: load.TenantName, KeyDigest: hex.EncodeToString(digest[:]),
	})
	return file.Bytes(), err
}
