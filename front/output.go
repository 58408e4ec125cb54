package front

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

var (
	errOffset     = errors.New("front: token has the wrong offset")
	errCallerGone = errors.New("front: the caller disconnected or stopped reading")
)

// output sends the output of a model to the caller, as a stream of tokens or as
// one response. It is the Sink of one request.
type output struct {
	x                *exchange
	id               string
	model            ident.Model
	created          int64
	stream           bool
	next             int64 // offset of the next token
	text             strings.Builder
	headWritten      bool   // the headers and first event of the stream were written
	tokenEventPrefix []byte // start of each token's event, up to the text
	buf              []byte // scratch buffer for the event being written
}

// tokenEventSuffix is the end of each token's event, after the text.
const tokenEventSuffix = `},"finish_reason":null}]}` + "\n\n"

func newOutput(x *exchange, m ident.Model, stream bool) *output {
	return &output{x: x, id: "chatcmpl-" + string(x.id), model: m, created: x.s.created(), stream: stream}
}

// Token appends a token to the response. Its offset must be the number of tokens
// received before; otherwise Token returns errOffset.
func (o *output) Token(offset int64, text string) error {
	if offset != o.next {
		return errOffset
	}
	if !o.stream {
		o.text.WriteString(text)
		o.next++
		return nil
	}
	if err := o.writeHead(); err != nil {
		return err
	}
	if err := o.writeToken(text); err != nil {
		return err
	}
	if err := o.flush(); err != nil {
		return err
	}
	o.next++
	return nil
}

// writeToken writes the event of a token. It writes the same bytes as writeChunk,
// but encodes only the text, since the rest is the same for all tokens of a
// response.
func (o *output) writeToken(text string) error {
	if text == "" {
		return o.writeChunk(chatDelta{}, nil, nil)
	}
	b, err := json.Marshal(text)
	if err != nil {
		return err
	}
	o.buf = append(append(append(o.buf[:0], o.tokenEventPrefix...), b...), tokenEventSuffix...)
	return o.write(o.buf)
}

// complete reports whether exactly total tokens were received.
func (o *output) complete(total int64) bool { return o.next == total }

// writeHead writes the headers and the first event of a stream, on its first call
// only. They are sent with the next flush.
func (o *output) writeHead() error {
	if o.headWritten {
		return nil
	}
	o.headWritten = true
	head, err := json.Marshal(chunkHead{ID: o.id, Object: chunkObject, Created: o.created, Model: o.model})
	if err != nil {
		return err
	}
	o.tokenEventPrefix = []byte("data: " + strings.TrimSuffix(string(head), "}") + `,"choices":[{"index":0,"delta":{"content":`)
	h := o.x.c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	o.x.record.status = 200
	o.x.c.Writer.WriteHeader(200)
	return o.writeChunk(chatDelta{Role: "assistant"}, nil, nil)
}

// finish ends a complete response: it writes the last events of a stream, or the
// complete response if it is not streamed.
func (o *output) finish(res Result, prompt int64) {
	usage := chatUsage{PromptTokens: prompt, CompletionTokens: res.OutputTokens, TotalTokens: prompt + res.OutputTokens}
	if !o.stream {
		o.x.writeJSON(200, chatResponse{
			ID: o.id, Object: "chat.completion", Created: o.created, Model: o.model,
			Choices: []chatChoice{{
				Message:      chatMessage{Role: "assistant", Content: chatContent(o.text.String())},
				FinishReason: res.Reason,
			}},
			Usage: usage,
		})
		return
	}
	if o.writeHead() != nil || o.writeChunk(chatDelta{}, &res.Reason, &usage) != nil {
		return
	}
	if o.write([]byte("data: [DONE]\n\n")) == nil {
		_ = o.flush()
	}
}

// abort ends an incomplete response, with an error status if nothing was written
// yet and with an error event otherwise.
func (o *output) abort(f apiError) {
	if !o.headWritten {
		o.x.writeError(f)
		return
	}
	if o.x.keyWithdrawn() {
		f = o.x.withdrawnError(f)
	}
	f.outcome = partialOutcome(f.outcome)
	o.x.recordFailure(f)
	b, err := json.Marshal(f.body(o.x.id))
	if err != nil {
		return
	}
	if o.write([]byte("event: error\ndata: "+string(b)+"\n\n")) == nil {
		_ = o.flush()
	}
}

// partialOutcome returns the outcome of a response of which a part was sent. It
// replaces ident.NotRun, which is no longer true, with ident.Unknown.
func partialOutcome(o ident.Outcome) ident.Outcome {
	if o == ident.NotRun {
		return ident.Unknown
	}
	return o
}

// writeChunk writes an event of the stream.
func (o *output) writeChunk(d chatDelta, reason *string, usage *chatUsage) error {
	b, err := json.Marshal(chatChunk{
		chunkHead: chunkHead{ID: o.id, Object: chunkObject, Created: o.created, Model: o.model},
		Choices:   []chunkChoice{{Delta: d, FinishReason: reason}},
		Usage:     usage,
	})
	if err != nil {
		return err
	}
	return o.write([]byte("data: " + string(b) + "\n\n"))
}

// write appends b to the buffer that the next flush sends. If the buffer is full,
// it is sent at once. Each write extends the write deadline by StallTimeout.
func (o *output) write(b []byte) error {
	o.x.extendWriteDeadline()
	if _, err := o.x.c.Writer.Write(b); err != nil {
		return o.abandon()
	}
	return nil
}

// flush sends the buffered bytes, under the write deadline set by the last write.
func (o *output) flush() error {
	if err := o.x.rc.Flush(); err != nil {
		return o.abandon()
	}
	return nil
}

// abandon cancels the request because its caller disconnected or stopped reading,
// and returns the error to report.
func (o *output) abandon() error {
	o.x.cancel(errCallerGone)
	return fail.New("front: write", "caller", ident.Unknown, errCallerGone)
}
