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

// outputTo returns the output of a streamed answer that w takes.
func outputTo(w http.ResponseWriter) *output {
	c, _ := gin.CreateTestContext(w)
	s := &Server{cfg: Config{StallTimeout: time.Minute, WallClock: func() time.Time { return time.Unix(1_780_000_000, 0) }}}
	x := &exchange{s: s, c: c, rc: http.NewResponseController(c.Writer), id: "r<1>", cancel: func(error) {}}
	return newOutput(x, "dossier", true)
}

// TestTokenEvent compares the events of tokens with those of the encoder.
func TestTokenEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) + rapid.String().Draw(t, "text")
		rec := httptest.NewRecorder()
		o := outputTo(rec)
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

// counting counts the flushes of an answer.
type counting struct {
	*httptest.ResponseRecorder
	flushes int
}

func (c *counting) Flush() { c.flushes++ }

// TestOneFlushForEachToken counts the flushes of an answer: the head leaves
// with the first token, and the end with the last event.
func TestOneFlushForEachToken(t *testing.T) {
	is := is.New(t)
	w := &counting{ResponseRecorder: httptest.NewRecorder()}
	o := outputTo(w)
	for n := range int64(3) {
		is.NoErr(o.Token(n, "letter "))
		is.Equal(w.flushes, int(n)+1)
	}
	o.finish(Result{OutputTokens: 3, Reason: "stop"}, 1)
	is.Equal(w.flushes, 4)
}

// BenchmarkToken relays a token to a caller that keeps nothing.
func BenchmarkToken(b *testing.B) {
	o := outputTo(discard{})
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
