package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/job"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clientOf returns OpenAI's public client with only the base URL and the key changed.
func clientOf(node *testNode, key string, options ...option.RequestOption) openai.Client {
	options = append([]option.RequestOption{option.WithBaseURL(node.url + "/v1"), option.WithAPIKey(key)}, options...)
	return openai.NewClient(options...)
}

func chatOf(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is it spelled so?")},
	}
}

func TestClientChat(t *testing.T) {
	fake := newFakeEngine(t, 5)
	node := newTestCluster(fake).start(t)
	client := clientOf(node, registryKey)
	for _, model := range []string{"clerk", "registry-assist", "registry-assist/clerk", "clerk:nikah", "nikah"} {
		answer, err := client.Chat.Completions.New(t.Context(), chatOf(model))
		if err != nil {
			t.Fatal(model, err)
		}
		choice := answer.Choices[0]
		if choice.Message.Content != fake.text(0) || choice.FinishReason != "stop" || answer.Model != model ||
			answer.Usage.TotalTokens != 8 || answer.Usage.PromptTokensDetails.CachedTokens != 2 {
			t.Fatal(answer.RawJSON())
		}
	}
	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "clerk", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
	})
	if err != nil || completion.Choices[0].Text != fake.text(0) {
		t.Fatal(completion, err)
	}
}

func TestClientStream(t *testing.T) {
	fake := newFakeEngine(t, 40)
	fake.cutAt = 13
	node := newTestCluster(fake).start(t)
	client := clientOf(node, registryKey)
	parameters := chatOf("clerk")
	parameters.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), parameters)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Fatal("chunk does not fit", stream.Current().RawJSON())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if choice := accumulated.Choices[0]; choice.Message.Content != fake.text(0) || choice.FinishReason != "stop" ||
		choice.Message.Role != roleAssistant || accumulated.Usage.CompletionTokens != 40 {
		t.Fatalf("%+v", accumulated)
	}
}

func TestClientModels(t *testing.T) {
	client := clientOf(newTestCluster().start(t), registryKey)
	page, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, model := range page.Data {
		names = append(names, model.ID)
	}
	// The tenant may not use the service of the storm model.
	if strings.Join(names, " ") != "clerk clerk:nikah" {
		t.Fatal(names)
	}
	if _, err := client.Models.Get(t.Context(), "clerk:nikah"); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Models.Get(t.Context(), "storm"); statusIn(err) != 404 {
		t.Fatal(err)
	}
}

func statusIn(err error) int {
	var failure *openai.Error
	if errors.As(err, &failure) {
		return failure.StatusCode
	}
	return 0
}

const batchInput = `{"custom_id":"page-1","method":"POST","url":"/v1/chat/completions","body":{"model":"clerk"}}
{"custom_id":"page-2","method":"POST","url":"/v1/chat/completions","body":{"model":"clerk"}}
{"custom_id":"page-3","method":"POST","url":"/v1/chat/completions","body":{"model":"clerk"}}
`

func uploadInput(t *testing.T, client openai.Client) *openai.FileObject {
	t.Helper()
	file, err := client.Files.New(t.Context(), openai.FileNewParams{
		File: openai.File(strings.NewReader(batchInput), "pages.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func batchOf(file string) openai.BatchNewParams {
	return openai.BatchNewParams{
		InputFileID: file, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h, Metadata: map[string]string{"shelf": "7"},
	}
}

func TestClientBatch(t *testing.T) {
	node := newTestCluster().start(t)
	client := clientOf(node, registryKey)
	file := uploadInput(t, client)
	if file.Bytes != int64(len(batchInput)) || file.Filename != "pages.jsonl" {
		t.Fatal(file.RawJSON())
	}
	batch, err := client.Batches.New(t.Context(), batchOf(file.ID))
	if err != nil {
		t.Fatal(err)
	}
	// The same request sent again returns the same batch.
	again, err := client.Batches.New(t.Context(), batchOf(file.ID))
	if err != nil || again.ID != batch.ID || batch.Metadata["shelf"] != "7" || len(batch.Metadata) != 1 || batch.InputFileID != file.ID {
		t.Fatal(again, err)
	}
	for batch.Status != openai.BatchStatusCompleted {
		if batch, err = client.Batches.Get(t.Context(), batch.ID); err != nil {
			t.Fatal(err)
		}
	}
	if batch.RequestCounts.Completed != 2 || batch.RequestCounts.Failed != 1 {
		t.Fatal(batch.RawJSON())
	}
	output, failed := download(t, client, batch.OutputFileID), download(t, client, batch.ErrorFileID)
	if strings.Count(output, "\n") != 2 || !strings.Contains(output, `"custom_id":"page-2","response":{"status_code":200`) {
		t.Fatal(output)
	}
	if strings.Count(failed, "\n") != 1 || !strings.Contains(failed, `"custom_id":"page-3","response":null,"error":{"code":"indeterminate"`) {
		t.Fatal(failed)
	}
	described, err := client.Files.Get(t.Context(), batch.OutputFileID)
	if err != nil || described.Bytes != int64(len(output)) {
		t.Fatal(described, err)
	}
}

func download(t *testing.T, client openai.Client, id string) string {
	t.Helper()
	response, err := client.Files.Content(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestClientBatchCancelAndLists(t *testing.T) {
	node := newTestCluster().start(t)
	client := clientOf(node, registryKey)
	file := uploadInput(t, client)
	var ids []string
	for _, key := range []string{"a", "b", "c"} {
		batch, err := client.Batches.New(t.Context(), batchOf(file.ID), option.WithHeader(headerIdempotencyKey, key))
		if err != nil {
			t.Fatal(err)
		}
		ids = append(ids, batch.ID)
	}
	cancelled, err := client.Batches.Cancel(t.Context(), ids[1])
	if err != nil || cancelled.Status != openai.BatchStatusCancelled {
		t.Fatal(cancelled, err)
	}
	var listed []string
	pages := client.Batches.ListAutoPaging(t.Context(), openai.BatchListParams{Limit: openai.Int(2)})
	for pages.Next() {
		listed = append(listed, pages.Current().ID)
	}
	if pages.Err() != nil || strings.Join(listed, " ") != strings.Join(ids, " ") {
		t.Fatal(listed, pages.Err())
	}
	// Another tenant cannot access the batch and the file.
	other := clientOf(node, tidewaterKey, option.WithMaxRetries(0))
	if _, err := other.Batches.Get(t.Context(), ids[0]); statusIn(err) != 404 {
		t.Fatal(err)
	}
	if _, err := other.Files.Content(t.Context(), file.ID); statusIn(err) != 404 {
		t.Fatal(err)
	}
	if _, err := client.Files.Delete(t.Context(), file.ID); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Files.Get(t.Context(), file.ID); statusIn(err) != 404 {
		t.Fatal(err)
	}
}

// TestBatchTemplate checks which fields of a batch come from a declared job, and their defaults
// without one.
func TestBatchTemplate(t *testing.T) {
	node := newTestCluster().start(t)
	client := clientOf(node, registryKey)
	parameters := batchOf(uploadInput(t, client).ID)
	parameters.Metadata = map[string]string{"job": "ledger-pages"}
	if _, err := client.Batches.New(t.Context(), parameters); err != nil {
		t.Fatal(err)
	}
	parameters.Metadata = nil
	if _, err := client.Batches.New(t.Context(), parameters); err != nil {
		t.Fatal(err)
	}
	templated, plain := node.jobs.submissions[0], node.jobs.submissions[1]
	if templated.Priority != "briefing" || !templated.NotRepeatable || templated.Deadline.Hours() != 1 || templated.Retention.Hours() != 48 {
		t.Fatalf("%+v", templated)
	}
	if plain.Priority != "archive" || plain.NotRepeatable || plain.Deadline.Hours() != 24 || plain.Service != "registry-assist" {
		t.Fatalf("%+v", plain)
	}
}

var _ job.Service = (*memoryJobs)(nil)
