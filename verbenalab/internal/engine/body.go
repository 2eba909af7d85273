package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

// chunkParts returns what stands before and after the text of a streamed chunk.
func chunkParts(q request, id string) (head, tail string) {
	object, open, shut := "text_completion", `"text":"`, `"`
	if q.chat {
		object, open, shut = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	head = fmt.Sprintf(`data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s`,
		quote(id), object, time.Now().Unix(), quote(q.Model), open)
	return head, shut + `,"finish_reason":null}]}` + "\n\n"
}

func finalChunk(q request, id string) string {
	object, empty := "text_completion", `"text":""`
	if q.chat {
		object, empty = "chat.completion.chunk", `"delta":{}`
	}
	return fmt.Sprintf(`data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s,"finish_reason":"length"}]}`+
		"\n\ndata: [DONE]\n\n", quote(id), object, time.Now().Unix(), quote(q.Model), empty)
}

func wholeBody(q request, id, text string, tokens int) string {
	object, content := "text_completion", `"text":`+quote(text)
	if q.chat {
		object, content = "chat.completion", `"message":{"role":"assistant","content":`+quote(text)+`}`
	}
	read := len(q.text) / bytesPerToken
	return fmt.Sprintf(`{"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s,"finish_reason":"length"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		quote(id), object, time.Now().Unix(), quote(q.Model), content, read, tokens, read+tokens)
}

func quote(s string) string {
	data, _ := json.Marshal(s) // strings never fail
	return string(data)
}
