package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

// chunkParts returns the parts of a streamed chunk before and after its text.
func chunkParts(q request, id string) (head, tail string) {
	object, prefix, suffix := "text_completion", `"text":"`, `"`
	if q.chat {
		object, prefix, suffix = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	head = fmt.Sprintf(`data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s`,
		quote(id), object, time.Now().Unix(), quote(q.Model), prefix)
	return head, suffix + `,"finish_reason":null}]}` + "\n\n"
}

// finalChunk returns the chunk with the finish reason, and the end marker of the stream.
func finalChunk(q request, id string) string {
	object, empty := "text_completion", `"text":""`
	if q.chat {
		object, empty = "chat.completion.chunk", `"delta":{}`
	}
	return fmt.Sprintf(`data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s,"finish_reason":"length"}]}`+
		"\n\ndata: [DONE]\n\n", quote(id), object, time.Now().Unix(), quote(q.Model), empty)
}

// wholeBody returns the body of an answer that is not streamed.
func wholeBody(q request, id, text string, tokens int) string {
	object, content := "text_completion", `"text":`+quote(text)
	if q.chat {
		object, content = "chat.completion", `"message":{"role":"assistant","content":`+quote(text)+`}`
	}
	promptTokens := len(q.text) / bytesPerToken
	return fmt.Sprintf(`{"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s,"finish_reason":"length"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		quote(id), object, time.Now().Unix(), quote(q.Model), content, promptTokens, tokens, promptTokens+tokens)
}

func quote(s string) string {
	data, _ := json.Marshal(s) // encoding a string never fails
	return string(data)
}
