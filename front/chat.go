package front

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// chat handles chat completion requests.
func (s *Server) chat(c *gin.Context) {
	x := s.begin(c, "chat")
	defer x.close()
	if !x.loadConfig() {
		return
	}
	q, ok := x.chatRequest()
	if !ok {
		return
	}
	g, ok := x.newGeneration(q)
	if !ok {
		return
	}
	settle, ok := x.admit(&g)
	if !ok {
		return
	}
	x.generate(g, q.Stream, settle)
}

// chatRequest reads, authenticates and parses a chat completion request.
func (x *exchange) chatRequest() (chatRequest, bool) {
	body, ok := x.readBody(maxChatBody)
	if !ok {
		return chatRequest{}, false
	}
	body = extractFieldKeys(body, &x.keys)
	if !x.authenticate() || !x.stripKeys(body) {
		return chatRequest{}, false
	}
	q, err := parseChat(body)
	switch {
	case errors.Is(err, errUnsupported):
		x.writeError(rejection(fail.CodeUnsupported, err.Error()))
	case err != nil:
		x.writeError(rejection(fail.CodeBadRequest, err.Error()))
	}
	return q, err == nil
}

// newGeneration validates a request against the configuration and converts it
// to a Generation.
func (x *exchange) newGeneration(q chatRequest) (Generation, bool) {
	m, ok := x.view.Model(q.Model)
	if !ok {
		x.writeError(rejection(fail.CodeUnknownModel, "the table has no such model"))
		return Generation{}, false
	}
	x.record.model = m.Name
	x.record.stream = q.Stream
	if q.Class == "" {
		q.Class = m.Class
	}
	class, ok := x.view.Class(q.Class)
	if !ok {
		x.writeError(rejection(fail.CodeBadRequest, "the table has no such class"))
		return Generation{}, false
	}
	x.record.class = class.Name
	g := Generation{
		Request:   x.id,
		Customer:  x.customer,
		Model:     m.Name,
		Class:     class,
		Prompt:    q.prompt(),
		MaxOutput: min(defaultMaxOutput, m.MaxOutput),
		Exact:     q.exact(),
		Arrived:   x.started,
	}
	if q.Seed != nil {
		g.Seed = *q.Seed
	}
	if n := q.maxOutput(); n != nil {
		g.MaxOutput = *n
	}
	g.PromptTokens = promptTokens(g.Prompt)
	x.record.prompt = g.PromptTokens
	return g, x.checkSizes(g, m)
}

// checkSizes reports whether the prompt and the requested output are within the
// limits of the model. If not, it writes the error.
func (x *exchange) checkSizes(g Generation, m Model) bool {
	switch {
	case g.PromptTokens > m.MaxPrompt:
		x.writeError(rejection(fail.CodeTooLarge, "the prompt is longer than the model takes"))
	case g.MaxOutput > m.MaxOutput:
		x.writeError(rejection(fail.CodeBadRequest, "the field max_tokens is larger than the model gives"))
	default:
		return true
	}
	return false
}

// admit charges the prompt and the maximum output to the token bucket of the
// customer. It writes the error if the limiter rejects the request.
func (x *exchange) admit(g *Generation) (settle func(used int64), ok bool) {
	settle, fresh, err := x.s.cfg.Limiter.Admit(x.ctx, x.id, x.customer, g.PromptTokens+g.MaxOutput)
	if err != nil {
		x.writeError(x.s.toAPIError(err))
		return nil, false
	}
	x.admitted = true
	g.ChargeValid = fresh
	return settle, true
}

// generate runs the request and writes the response.
func (x *exchange) generate(g Generation, stream bool, settle func(used int64)) {
	limit := g.Class.Timeout
	if limit == 0 {
		limit = defaultGenerationTimeout
	}
	g.Deadline = x.started + limit
	ctx, cancel := context.WithTimeout(x.ctx, limit)
	defer cancel()
	out := newOutput(x, g.Model, stream)
	res, err := x.s.cfg.Generator.Run(ctx, g, out)
	if err == nil && !out.complete(res.OutputTokens) {
		err = fail.New("front: count tokens", "", ident.Unknown, errTokenCount)
	}
	settle(usedTokens(g, out, err))
	x.record.result = res
	x.recordStats(g, res, err)
	if err != nil {
		out.abort(x.s.toAPIError(err))
		return
	}
	x.record.outcome = ident.Done
	out.finish(res, g.PromptTokens)
}

// recordStats reports a request to the meter, unless it was rejected.
func (x *exchange) recordStats(g Generation, res Result, err error) {
	o := fail.Outcome(err)
	if o == ident.NotRun {
		return
	}
	x.s.cfg.Meter.RecordEnded(RequestStats{
		Customer: x.customer, Model: g.Model, Outcome: o, Result: res, PromptTokens: g.PromptTokens, Abandoned: x.callerGone(),
	})
}

// errTokenCount means that the generator reported another number of output
// tokens than it passed to the sink.
var errTokenCount = errors.New("the number of tokens received differs from the number that the engine reported")

// usedTokens returns the tokens to charge for the request: zero if it did not
// run, otherwise the prompt and the output received so far.
func usedTokens(g Generation, out *output, err error) int64 {
	if err != nil && fail.Outcome(err) == ident.NotRun {
		return 0
	}
	return g.PromptTokens + out.next
}

// modelList is the JSON body of the response to a request for /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      ident.Model `json:"id"`
	Object  string      `json:"object"`
	OwnedBy string      `json:"owned_by"`
}

// models lists the models of the configuration.
func (s *Server) models(c *gin.Context) {
	x := s.begin(c, "models")
	defer x.close()
	if !x.loadConfig() || !x.authenticate() || !x.stripKeys(nil) {
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range x.view.Models() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "wasabidock"})
	}
	x.record.outcome = ident.Done
	x.writeJSON(200, list)
}

// created returns the creation time of a response, in Unix seconds.
func (s *Server) created() int64 { return s.cfg.WallClock().Truncate(time.Second).Unix() }
