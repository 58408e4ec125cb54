package front

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

var (
	errOffset = errors.New("front: a token came at the wrong offset")
	errCaller = errors.New("front: the caller does not take the answer")
)

// output relays the output of a model to its caller, token by token or as a
// whole. It is the Sink of one request.
type output struct {
	x       *exchange
	id      string
	model   ident.Model
	created int64
	stream  bool
	next    int64 // offset of the token that comes next
	text    strings.Builder
	begun   bool   // the head of a stream was written
	lead    []byte // of each token's event, up to the text
	buf     []byte // of the event that is written
}

// tail ends the event of a token after its text.
const tail = `},"finish_reason":null}]}` + "\n\n"

func newOutput(x *exchange, m ident.Model, stream bool) *output {
	return &output{x: x, id: "chatcmpl-" + string(x.id), model: m, created: x.s.created(), stream: stream}
}

// Token takes the token at an offset, which must be the next one.
func (o *output) Token(offset int64, text string) error {
	if offset != o.next {
		return errOffset
	}
	if !o.stream {
		o.text.WriteString(text)
		o.next++
		return nil
	}
	if err := o.begin(); err != nil {
		return err
	}
	if err := o.piece(text); err != nil {
		return err
	}
	if err := o.flush(); err != nil {
		return err
	}
	o.next++
	return nil
}

// piece puts the event of a token. It puts what chunk would, of which only
// the text differs between the tokens of an answer.
func (o *output) piece(text string) error {
	if text == "" {
		return o.chunk(chatDelta{}, nil, nil)
	}
	b, err := json.Marshal(text)
	if err != nil {
		return err
	}
	o.buf = append(append(append(o.buf[:0], o.lead...), b...), tail...)
	return o.put(o.buf)
}

// complete reports whether exactly total tokens came.
func (o *output) complete(total int64) bool { return o.next == total }

// begin puts the head of a stream once. It leaves with what is flushed next.
func (o *output) begin() error {
	if o.begun {
		return nil
	}
	o.begun = true
	head, err := json.Marshal(chunkHead{ID: o.id, Object: chunkObject, Created: o.created, Model: o.model})
	if err != nil {
		return err
	}
	o.lead = []byte("data: " + strings.TrimSuffix(string(head), "}") + `,"choices":[{"index":0,"delta":{"content":`)
	h := o.x.c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	o.x.note.status = 200
	o.x.c.Writer.WriteHeader(200)
	return o.chunk(chatDelta{Role: "assistant"}, nil, nil)
}

// finish ends a whole answer.
func (o *output) finish(res Result, prompt int64) {
	usage := chatUsage{PromptTokens: prompt, CompletionTokens: res.OutputTokens, TotalTokens: prompt + res.OutputTokens}
	if !o.stream {
		o.x.json(200, chatAnswer{
			ID: o.id, Object: "chat.completion", Created: o.created, Model: o.model,
			Choices: []chatChoice{{
				Message:      chatMessage{Role: "assistant", Content: chatContent(o.text.String())},
				FinishReason: res.Reason,
			}},
			Usage: usage,
		})
		return
	}
	if o.begin() != nil || o.chunk(chatDelta{}, &res.Reason, &usage) != nil {
		return
	}
	if o.put([]byte("data: [DONE]\n\n")) == nil {
		_ = o.flush()
	}
}

// abort ends an answer that is not whole: with an error status if nothing was
// written yet, and with an error event otherwise.
func (o *output) abort(f fault) {
	if !o.begun {
		o.x.refuse(f)
		return
	}
	if o.x.withdrawnKey() {
		f = o.x.withdrawn(f)
	}
	f.outcome = worst(f.outcome)
	o.x.fail(f)
	b, err := json.Marshal(f.body(o.x.id))
	if err != nil {
		return
	}
	if o.put([]byte("event: error\ndata: "+string(b)+"\n\n")) == nil {
		_ = o.flush()
	}
}

// worst returns the outcome of an answer of which a part was sent.
func worst(o ident.Outcome) ident.Outcome {
	if o == ident.NotRun {
		return ident.Unknown
	}
	return o
}

// chunk puts an event of the stream.
func (o *output) chunk(d chatDelta, reason *string, usage *chatUsage) error {
	b, err := json.Marshal(chatChunk{
		chunkHead: chunkHead{ID: o.id, Object: chunkObject, Created: o.created, Model: o.model},
		Choices:   []chunkPiece{{Delta: d, FinishReason: reason}},
		Usage:     usage,
	})
	if err != nil {
		return err
	}
	return o.put([]byte("data: " + string(b) + "\n\n"))
}

// put adds b to what the next flush sends. What does not fit the buffer is
// sent at once, for which the caller has the stall limit.
func (o *output) put(b []byte) error {
	o.x.progress()
	if _, err := o.x.c.Writer.Write(b); err != nil {
		return o.gone()
	}
	return nil
}

// flush sends what was put, under the stall limit of the last put.
func (o *output) flush() error {
	if err := o.x.rc.Flush(); err != nil {
		return o.gone()
	}
	return nil
}

// gone ends the work for a caller that is not there any more.
func (o *output) gone() error {
	o.x.cancel(errCaller)
	return fail.New("front: write", "caller", ident.Unknown, errCaller)
}
