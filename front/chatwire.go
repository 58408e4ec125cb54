package front

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
)

// chatRequest is the JSON body of a chat completion request.
type chatRequest struct {
	Model               ident.Model     `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	Seed                *int64          `json:"seed"`
	Stream              bool            `json:"stream"`
	Class               ident.Class     `json:"class"`
	N                   *int            `json:"n"`
	Tools               json.RawMessage `json:"tools"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. In JSON it is a string or a list of text
// parts.
type chatContent string

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

var (
	errContentType = errors.New("a message's content is neither a string nor a list of text parts")
	errTrailing    = errors.New("the body holds more than one JSON value")
	errUnsupported = errors.New("the router supports neither tools nor more than one choice")
)

// UnmarshalJSON decodes a string, or a list of text parts, which it concatenates.
func (c *chatContent) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) == nil {
		*c = chatContent(s)
		return nil
	}
	var parts []chatPart
	if json.Unmarshal(b, &parts) != nil {
		return errContentType
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errContentType
		}
		text.WriteString(p.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// parseChat parses and validates the body of a chat completion request.
func parseChat(body []byte) (chatRequest, error) {
	var q chatRequest
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&q); err != nil {
		return q, jsonError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return q, errTrailing
	}
	return q, q.check()
}

// jsonError converts a decoding error to one that contains nothing of the body
// except field names and byte offsets.
func jsonError(err error) error {
	var (
		kind   *json.UnmarshalTypeError
		syntax *json.SyntaxError
	)
	switch {
	case errors.As(err, &kind):
		return errors.Errorf("the field %s has the wrong type", kind.Field)
	case errors.As(err, &syntax):
		return errors.Errorf("the body is not JSON at byte %d", syntax.Offset)
	case errors.Is(err, errContentType):
		return errContentType
	default:
		return errors.New("the body is not a JSON object")
	}
}

func (q *chatRequest) check() error {
	switch {
	case q.Model == "":
		return errors.New("the field model is missing")
	case len(q.Messages) == 0:
		return errors.New("the field messages is empty")
	case q.Temperature != nil && (*q.Temperature < 0 || *q.Temperature > 2):
		return errors.New("the field temperature is not between 0 and 2")
	case q.maxOutput() != nil && *q.maxOutput() < 1:
		return errors.New("the field max_tokens is not positive")
	}
	for _, m := range q.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant":
		default:
			return errors.New("a message's role is not system, developer, user or assistant")
		}
	}
	if q.N != nil && *q.N != 1 || hasItems(q.Tools) {
		return errUnsupported
	}
	return nil
}

func hasItems(raw json.RawMessage) bool {
	s := strings.TrimSpace(string(raw))
	return s != "" && s != "null" && s != "[]"
}

func (q *chatRequest) maxOutput() *int64 {
	if q.MaxCompletionTokens != nil {
		return q.MaxCompletionTokens
	}
	return q.MaxTokens
}

// exact reports whether the output must be reproducible: temperature zero and a
// seed.
func (q *chatRequest) exact() bool {
	return q.Temperature != nil && *q.Temperature == 0 && q.Seed != nil
}

// prompt joins the messages to one text. Requests that share their first
// messages get prompts with a common prefix.
func (q *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteString(":\n")
		b.WriteString(string(m.Content))
		b.WriteString("\n\n")
	}
	b.WriteString("assistant:\n")
	return b.String()
}

// promptTokens estimates the number of tokens of a prompt from its length.
func promptTokens(prompt string) int64 {
	return (int64(len(prompt)) + bytesPerToken - 1) / bytesPerToken
}

// chatResponse is the JSON body of a response that is not streamed.
type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   ident.Model  `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chatChunk is the JSON data of one event of a streamed response.
type chatChunk struct {
	chunkHead
	Choices []chunkChoice `json:"choices"`
	Usage   *chatUsage    `json:"usage,omitempty"`
}

// chunkHead holds the first fields of a chatChunk, which are the same in all
// events of a response.
type chunkHead struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   ident.Model `json:"model"`
}

const chunkObject = "chat.completion.chunk"

type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}
