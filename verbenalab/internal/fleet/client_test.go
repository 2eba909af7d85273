package fleet_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestStockClient calls every caller endpoint with an unmodified OpenAI client library.
func TestStockClient(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	client := openai.NewClient(option.WithBaseURL("http://"+f.Hosts[0].CallerAddress+"/v1/"), option.WithAPIKey(f.keys["archive"]))
	request := openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which village carved this sheaf?")},
	}

	complete, err := client.Chat.Completions.New(f.ctx, request)
	f.Assert(err, qt.IsNil)
	f.Assert(strings.Fields(complete.Choices[0].Message.Content), qt.HasLen, 8)

	streamed := ""
	stream := client.Chat.Completions.NewStreaming(f.ctx, request)
	for stream.Next() {
		streamed += stream.Current().Choices[0].Delta.Content
	}
	f.Assert(stream.Err(), qt.IsNil)
	f.Assert(streamed, qt.Equals, complete.Choices[0].Message.Content)

	plain, err := client.Completions.New(f.ctx, openai.CompletionNewParams{
		Model: model, MaxTokens: openai.Int(4), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("A mould")},
	})
	f.Assert(err, qt.IsNil)
	f.Assert(strings.Fields(plain.Choices[0].Text), qt.HasLen, 4)

	models, err := client.Models.List(f.ctx)
	f.Assert(err, qt.IsNil)
	f.Assert(models.Data, qt.HasLen, 1)
	f.Assert(models.Data[0].ID, qt.Equals, model)

	f.runStockBatch(client)

	_, err = client.Models.Get(f.ctx, "no-such-model")
	var refused *openai.Error
	f.Assert(err, qt.ErrorAs, &refused)
	f.Assert(refused.StatusCode, qt.Equals, 404)
	f.Assert(refused.Code, qt.Equals, "not_found")
}

// runStockBatch runs a batch through the client library's file and batch calls.
func (f *testFleet) runStockBatch(client openai.Client) {
	file, err := client.Files.New(f.ctx, openai.FileNewParams{
		File: openai.File(bytes.NewReader(batchInput("stock", 30, 6)), "entries.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	f.Assert(err, qt.IsNil)
	b, err := client.Batches.New(f.ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, option.WithHeader("Idempotency-Key", "stock"))
	f.Assert(err, qt.IsNil)
	f.eventually(30*time.Second, "the batch is completed", func() bool {
		b, err = client.Batches.Get(f.ctx, b.ID)
		return err == nil && b.Status == openai.BatchStatusCompleted
	})
	f.Assert(b.RequestCounts.Completed, qt.Equals, int64(30))
	content, err := client.Files.Content(f.ctx, b.OutputFileID)
	f.Assert(err, qt.IsNil)
	data, err := io.ReadAll(content.Body)
	f.Assert(err, qt.IsNil)
	f.Assert(content.Body.Close(), qt.IsNil)
	f.Assert(bytes.Count(data, []byte("\n")), qt.Equals, 30)
	list, err := client.Batches.List(f.ctx, openai.BatchListParams{})
	f.Assert(err, qt.IsNil)
	f.Assert(list.Data, qt.HasLen, 1)
	ended, err := client.Batches.Cancel(f.ctx, b.ID)
	f.Assert(err, qt.IsNil)
	f.Assert(ended.Status, qt.Equals, openai.BatchStatusCompleted)
}

// TestBadRequests sends invalid files and jobs. Each must be refused with a message that names the reason.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	_, err := f.caller.Upload(f.ctx, f.keys["archive"], []byte(string(batchInput("ok", 3, 4))+`{"custom_id":"x"}`))
	f.Assert(err, qt.ErrorMatches, `.*row 4: method must be POST.*`)
	_, err = f.caller.Submit(f.ctx, f.keys["archive"], "file-none", "k", "10m")
	f.Assert(err, qt.ErrorMatches, `.*no such file.*`)
	file, err := f.caller.Upload(f.ctx, f.keys["archive"], batchInput("ok", 3, 4))
	f.Assert(err, qt.IsNil)
	_, err = f.caller.Submit(f.ctx, f.keys["archive"], file, "k", "never")
	f.Assert(err, qt.ErrorMatches, `.*completion_window must be a duration.*`)
	_, err = f.caller.Submit(f.ctx, f.keys["archive"], file, "k", "10m")
	f.Assert(err, qt.IsNil)
	_, err = f.caller.Submit(f.ctx, f.keys["archive"], file, "k", "20m")
	f.Assert(err, qt.ErrorMatches, `.*idempotency_conflict.*`)
	_, err = f.caller.Upload(f.ctx, f.keys["archive"], bytes.Repeat([]byte("x"), 65<<20))
	f.Assert(err, qt.ErrorMatches, `.*too_large.*|.*broken pipe.*|.*connection reset.*`)
	deskFile, err := f.caller.Upload(f.ctx, f.keys["desk"], batchInput("desk", 3, 4))
	f.Assert(err, qt.IsNil)
	_, err = f.caller.Submit(f.ctx, f.keys["desk"], deskFile, "k", "10m")
	f.Assert(err, qt.ErrorMatches, `.*no rule lets workspace \\"desk\\" run batches.*`)
}
