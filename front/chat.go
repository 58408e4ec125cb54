package front

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// chat serves requests to models.
func (s *Server) chat(c *gin.Context) {
	x := s.open(c, "chat")
	defer x.close()
	if !x.table() {
		return
	}
	q, ok := x.chatRequest()
	if !ok {
		return
	}
	g, ok := x.generation(q)
	if !ok {
		return
	}
	settle, ok := x.admit(&g)
	if !ok {
		return
	}
	x.generate(g, q.Stream, settle)
}

// chatRequest reads and authenticates a request to a model.
func (x *exchange) chatRequest() (chatRequest, bool) {
	body, ok := x.read(maxChatBody)
	if !ok {
		return chatRequest{}, false
	}
	body = takeField(body, &x.keys)
	if !x.authenticate() || !x.clean(body) {
		return chatRequest{}, false
	}
	q, err := parseChat(body)
	switch {
	case errors.Is(err, errUnsupported):
		x.refuse(refused(fail.CodeUnsupported, err.Error()))
	case err != nil:
		x.refuse(refused(fail.CodeBadRequest, err.Error()))
	}
	return q, err == nil
}

// generation checks a request against the table.
func (x *exchange) generation(q chatRequest) (Generation, bool) {
	m, ok := x.view.Model(q.Model)
	if !ok {
		x.refuse(refused(fail.CodeUnknownModel, "the table has no such model"))
		return Generation{}, false
	}
	x.note.model = m.Name
	x.note.stream = q.Stream
	if q.Class == "" {
		q.Class = m.Class
	}
	class, ok := x.view.Class(q.Class)
	if !ok {
		x.refuse(refused(fail.CodeBadRequest, "the table has no such class"))
		return Generation{}, false
	}
	x.note.class = class.Name
	g := Generation{
		Request:   x.id,
		Customer:  x.customer,
		Model:     m.Name,
		Class:     class,
		Prompt:    q.prompt(),
		MaxOutput: min(defaultOutput, m.MaxOutput),
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
	x.note.prompt = g.PromptTokens
	return g, x.fits(g, m)
}

// fits checks the sizes of a request against its model.
func (x *exchange) fits(g Generation, m Model) bool {
	switch {
	case g.PromptTokens > m.MaxPrompt:
		x.refuse(refused(fail.CodeTooLarge, "the prompt is longer than the model takes"))
	case g.MaxOutput > m.MaxOutput:
		x.refuse(refused(fail.CodeBadRequest, "the field max_tokens is larger than the model gives"))
	default:
		return true
	}
	return false
}

// admit charges the request to its customer.
func (x *exchange) admit(g *Generation) (settle func(used int64), ok bool) {
	settle, fresh, err := x.s.cfg.Limiter.Admit(x.ctx, x.id, x.customer, g.PromptTokens+g.MaxOutput)
	if err != nil {
		x.refuse(x.s.explain(err))
		return nil, false
	}
	x.admitted = true
	g.ChargeValid = fresh
	return settle, true
}

// generate runs the request and answers it.
func (x *exchange) generate(g Generation, stream bool, settle func(used int64)) {
	limit := g.Class.Timeout
	if limit == 0 {
		limit = defaultWhole
	}
	g.Deadline = x.started + limit
	ctx, cancel := context.WithTimeout(x.ctx, limit)
	defer cancel()
	out := newOutput(x, g.Model, stream)
	res, err := x.s.cfg.Generator.Run(ctx, g, out)
	if err == nil && !out.complete(res.OutputTokens) {
		err = fail.New("front: count tokens", "", ident.Unknown, errShort)
	}
	settle(used(g, out, err))
	x.note.result = res
	x.measure(g, res, err)
	if err != nil {
		out.abort(x.s.explain(err))
		return
	}
	x.note.outcome = ident.Done
	out.finish(res, g.PromptTokens)
}

// measure tells the meter of a request that was not refused.
func (x *exchange) measure(g Generation, res Result, err error) {
	o := fail.Outcome(err)
	if o == ident.NotRun {
		return
	}
	x.s.cfg.Meter.RecordEnded(RequestStats{
		Customer: x.customer, Model: g.Model, Outcome: o, Result: res, PromptTokens: g.PromptTokens, Abandoned: x.gone(),
	})
}

// errShort reports a generator that claims more or fewer tokens than it gave.
var errShort = errors.New("the answer's tokens are not as many as its engine said")

// used returns the tokens that the request has cost.
func used(g Generation, out *output, err error) int64 {
	if err != nil && fail.Outcome(err) == ident.NotRun {
		return 0
	}
	return g.PromptTokens + out.next
}

// modelList is the JSON form of the list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      ident.Model `json:"id"`
	Object  string      `json:"object"`
	OwnedBy string      `json:"owned_by"`
}

// models lists the models of the table.
func (s *Server) models(c *gin.Context) {
	x := s.open(c, "models")
	defer x.close()
	if !x.table() || !x.authenticate() || !x.clean(nil) {
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range x.view.Models() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "wasabidock"})
	}
	x.note.outcome = ident.Done
	x.json(200, list)
}

// created returns the time that answers carry.
func (s *Server) created() int64 { return s.cfg.WallClock().Truncate(time.Second).Unix() }
