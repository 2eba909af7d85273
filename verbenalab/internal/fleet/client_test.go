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

// TestStockClient drives every page for callers with a stock client library.
func TestStockClient(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	client := openai.NewClient(option.WithBaseURL("http://"+r.Hosts[0].Caller+"/v1/"), option.WithAPIKey(r.keys["archive"]))
	question := openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which village carved this sheaf?")},
	}

	whole, err := client.Chat.Completions.New(r.ctx, question)
	r.Assert(err, qt.IsNil)
	r.Assert(strings.Fields(whole.Choices[0].Message.Content), qt.HasLen, 8)

	streamed := ""
	stream := client.Chat.Completions.NewStreaming(r.ctx, question)
	for stream.Next() {
		streamed += stream.Current().Choices[0].Delta.Content
	}
	r.Assert(stream.Err(), qt.IsNil)
	r.Assert(streamed, qt.Equals, whole.Choices[0].Message.Content)

	plain, err := client.Completions.New(r.ctx, openai.CompletionNewParams{
		Model: model, MaxTokens: openai.Int(4), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("A mould")},
	})
	r.Assert(err, qt.IsNil)
	r.Assert(strings.Fields(plain.Choices[0].Text), qt.HasLen, 4)

	models, err := client.Models.List(r.ctx)
	r.Assert(err, qt.IsNil)
	r.Assert(models.Data, qt.HasLen, 1)
	r.Assert(models.Data[0].ID, qt.Equals, model)

	r.stockBatch(client)

	_, err = client.Models.Get(r.ctx, "no-such-model")
	var refused *openai.Error
	r.Assert(err, qt.ErrorAs, &refused)
	r.Assert(refused.StatusCode, qt.Equals, 404)
	r.Assert(refused.Code, qt.Equals, "not_found")
}

func (r *rig) stockBatch(client openai.Client) {
	file, err := client.Files.New(r.ctx, openai.FileNewParams{
		File: openai.File(bytes.NewReader(items("stock", 30, 6)), "entries.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	r.Assert(err, qt.IsNil)
	b, err := client.Batches.New(r.ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, option.WithHeader("Idempotency-Key", "stock"))
	r.Assert(err, qt.IsNil)
	r.eventually(30*time.Second, "the batch is completed", func() bool {
		b, err = client.Batches.Get(r.ctx, b.ID)
		return err == nil && b.Status == openai.BatchStatusCompleted
	})
	r.Assert(b.RequestCounts.Completed, qt.Equals, int64(30))
	content, err := client.Files.Content(r.ctx, b.OutputFileID)
	r.Assert(err, qt.IsNil)
	data, err := io.ReadAll(content.Body)
	r.Assert(err, qt.IsNil)
	r.Assert(content.Body.Close(), qt.IsNil)
	r.Assert(bytes.Count(data, []byte("\n")), qt.Equals, 30)
	list, err := client.Batches.List(r.ctx, openai.BatchListParams{})
	r.Assert(err, qt.IsNil)
	r.Assert(list.Data, qt.HasLen, 1)
	ended, err := client.Batches.Cancel(r.ctx, b.ID)
	r.Assert(err, qt.IsNil)
	r.Assert(ended.Status, qt.Equals, openai.BatchStatusCompleted)
}

// TestBadRequests sends what the pages must refuse, each with a clear reason.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	_, err := r.caller.Upload(r.ctx, r.keys["archive"], []byte(string(items("ok", 3, 4))+`{"custom_id":"x"}`))
	r.Assert(err, qt.ErrorMatches, `.*row 4: method must be POST.*`)
	_, err = r.caller.Submit(r.ctx, r.keys["archive"], "file-none", "k", "10m")
	r.Assert(err, qt.ErrorMatches, `.*no such file.*`)
	file, err := r.caller.Upload(r.ctx, r.keys["archive"], items("ok", 3, 4))
	r.Assert(err, qt.IsNil)
	_, err = r.caller.Submit(r.ctx, r.keys["archive"], file, "k", "never")
	r.Assert(err, qt.ErrorMatches, `.*completion_window must be a duration.*`)
	_, err = r.caller.Submit(r.ctx, r.keys["archive"], file, "k", "10m")
	r.Assert(err, qt.IsNil)
	_, err = r.caller.Submit(r.ctx, r.keys["archive"], file, "k", "20m")
	r.Assert(err, qt.ErrorMatches, `.*idempotency_conflict.*`)
	_, err = r.caller.Upload(r.ctx, r.keys["archive"], bytes.Repeat([]byte("x"), 65<<20))
	r.Assert(err, qt.ErrorMatches, `.*too_large.*|.*broken pipe.*|.*connection reset.*`)
	deskFile, err := r.caller.Upload(r.ctx, r.keys["desk"], items("desk", 3, 4))
	r.Assert(err, qt.IsNil)
	_, err = r.caller.Submit(r.ctx, r.keys["desk"], deskFile, "k", "10m")
	r.Assert(err, qt.ErrorMatches, `.*no rule lets workspace \\"desk\\" run batches.*`)
}
