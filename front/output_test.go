package front

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
)

// newTestOutput returns an output that streams a response to w.
func newTestOutput(w http.ResponseWriter) *output {
	c, _ := gin.CreateTestContext(w)
	s := &Server{cfg: Config{StallTimeout: time.Minute, WallClock: func() time.Time { return time.Unix(1_780_000_000, 0) }}}
	x := &exchange{s: s, c: c, rc: http.NewResponseController(c.Writer), id: "r<1>", cancel: func(error) {}}
	return newOutput(x, "dossier", true)
}

// TestTokenEventEncoding checks that writeToken, which encodes only the text, writes
// the same bytes as the JSON encoder does for the whole event.
func TestTokenEventEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) + rapid.String().Draw(t, "text")
		rec := httptest.NewRecorder()
		o := newTestOutput(rec)
		if err := o.Token(0, "first"); err != nil {
			t.Fatal(err)
		}
		rec.Body.Reset()
		if err := o.Token(1, text); err != nil {
			t.Fatal(err)
		}
		b, err := json.Marshal(chatChunk{
			chunkHead: chunkHead{ID: "chatcmpl-r<1>", Object: "chat.completion.chunk", Created: 1_780_000_000, Model: ident.Model("dossier")},
			Choices:   []chunkChoice{{Delta: chatDelta{Content: text}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := rec.Body.String(), "data: "+string(b)+"\n\n"; got != want {
			t.Fatalf("token %q: got %q, want %q", text, got, want)
		}
	})
}

// flushCounter counts the flushes of a response.
type flushCounter struct {
	*httptest.ResponseRecorder
	flushes int
}

func (c *flushCounter) Flush() { c.flushes++ }

// TestOneFlushPerToken checks that a stream is flushed once per token and once at
// its end: the head is sent with the first token.
func TestOneFlushPerToken(t *testing.T) {
	is := is.New(t)
	w := &flushCounter{ResponseRecorder: httptest.NewRecorder()}
	o := newTestOutput(w)
	for n := range int64(3) {
		is.NoErr(o.Token(n, "letter "))
		is.Equal(w.flushes, int(n)+1)
	}
	o.finish(Result{OutputTokens: 3, Reason: "stop"}, 1)
	is.Equal(w.flushes, 4)
}

// BenchmarkToken measures writing a token to a caller that discards it.
func BenchmarkToken(b *testing.B) {
	o := newTestOutput(discard{})
	for n := int64(0); b.Loop(); n++ {
		if err := o.Token(n, "letter "); err != nil {
			b.Fatal(err)
		}
	}
}

type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}
