package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) explain() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "wasabi explain REQUEST [FILE...]",
		ShortHelp:  "tell how one request was decided",
		LongHelp: "Reads log lines of any number of instances from the files or from standard input and prints all\n" +
			"decisions about the request as sentences, in the order of their times within a file or an instance, and what is\n" +
			"missing. Clocks of different instances are not compared: each file and instance has a part of its own.",
		FlagSet: a.flags("explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("explain needs a request")
			}
			decisions, evidence, err := a.decisions(args[0], args[1:])
			if err != nil {
				return &exitError{code: exitUsage, err: err}
			}
			if len(decisions) == 0 {
				return &exitError{code: exitFaults, err: errors.Errorf("no decision about request %q", args[0])}
			}
			a.story(decisions)
			a.evidence(decisions, evidence)
			return nil
		},
	}
}

// decisions returns the decisions about a request, oldest first, and the evidence on all parts of prompts.
func (a *app) decisions(request string, files []string) (all, evidence []decision, err error) {
	if len(files) == 0 {
		return readDecisions(a.in, request)
	}
	for n, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, err
		}
		found, lines, err := readDecisions(f, request)
		_ = f.Close()
		if err != nil {
			return nil, nil, errors.Wrap(err, name)
		}
		evidence = append(evidence, lines...)
		for i := range found {
			found[i].file = n
		}
		all = append(all, found...)
	}
	return all, evidence, nil
}

// evidence prints what instances have logged about the parts of prompts for which a request was rejected.
func (a *app) evidence(decisions, evidence []decision) {
	told := make(map[string]bool)
	for _, d := range decisions {
		part := d.fields["refused_part"]
		if part == "" || told[part] {
			continue
		}
		told[part] = true
		a.printf("Evidence on part %s:\n", part)
		found := false
		for _, e := range evidence {
			if e.fields["prompt_part"] == part {
				found = true
				a.printf("%s %s\n", e.writer, e.sentence())
			}
		}
		if !found {
			a.printf("Missing: the lines of the instances that saw its crashes.\n")
		}
	}
}

// story prints the decisions, those of each file and instance by themselves.
func (a *app) story(all []decision) {
	sort.SliceStable(all, func(i, j int) bool {
		x, y := all[i], all[j]
		if x.file != y.file {
			return x.file < y.file
		}
		if x.writer != y.writer {
			return x.writer < y.writer
		}
		return x.micros < y.micros
	})
	last := all[0].writer
	for i, d := range all {
		if d.writer != "" && (i == 0 || d.writer != last || d.file != all[i-1].file) {
			a.printf("%s:\n", d.writer)
		}
		last = d.writer
		a.printf("%s\n", d.sentence())
		if d.step && (i+1 == len(all) || all[i+1].writer != d.writer || all[i+1].file != d.file) {
			a.printf("Missing: how it ended there. The process ended before it, the lines were dropped, or it goes on.\n")
		}
	}
}

const maxLineBytes = 1 << 20

func readDecisions(r io.Reader, request string) (out, evidence []decision, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		writer, text := splitLine(s.Text())
		if strings.Contains(text, `"prompt_part":`) {
			if d, ok := parseLine([]byte(text)); ok {
				d.writer = writer
				evidence = append(evidence, d)
			}
			continue
		}
		// Most lines are about other requests: look before decoding.
		if !strings.Contains(text, request) {
			continue
		}
		if d, ok := parseDecision([]byte(text)); ok && d.request == request {
			d.writer = writer
			out = append(out, d)
		}
	}
	return out, evidence, s.Err()
}

// splitLine takes apart a line that begins with a time and the name of the
// instance that wrote it, as collectors of several logs print it. A line that
// does not is returned as it is.
func splitLine(s string) (writer, text string) {
	before, after, ok := strings.Cut(s, "{")
	f := strings.Fields(before)
	if !ok || len(f) != 2 {
		return "", s
	}
	return f[1], "{" + after
}

// decision is one line about a request.
type decision struct {
	file    int
	writer  string // instance, empty if the line does not tell
	step    bool   // something on the way: the decision that ends the request must follow
	request string
	micros  int64
	message string
	fields  map[string]string
}

// parseDecision parses a line about a request.
func parseDecision(line []byte) (decision, bool) {
	d, ok := parseLine(line)
	return d, ok && (!d.step || d.request != "")
}

// parseLine parses a line of a log.
func parseLine(line []byte) (decision, bool) {
	var known struct {
		Decision bool   `json:"decision"`
		Request  string `json:"request"`
		ID       string `json:"id"` // of the request, in lines of package proxy
		Time     int64  `json:"time"`
		Message  string `json:"message"`
	}
	if json.Unmarshal(line, &known) != nil {
		return decision{}, false
	}
	if known.Request == "" {
		known.Request = known.ID
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(line, &raw) != nil {
		return decision{}, false
	}
	d := decision{request: known.Request, micros: known.Time, message: known.Message, step: !known.Decision, fields: make(map[string]string)}
	for name, value := range raw {
		switch name {
		case "decision", "request", "id", "time", "message", "level", "part":
			continue
		}
		if text := fieldText(value); text != "" {
			d.fields[name] = text
		}
	}
	return d, true
}

// fieldText returns a field for people; empty and null fields say nothing.
func fieldText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return strings.TrimSpace(string(raw))
}

// phrases tell the fields that decisions share, in the order in which people
// want to read them.
var phrases = []struct{ field, before, after string }{
	{"instance", "at ", ""},
	{"kind", "a ", " request"},
	{"customer", "for customer ", ""},
	{"model", "of model ", ""},
	{"class", "in class ", ""},
	{"route", "on route ", ""},
	{"revision", "by revision ", " of the table"},
	{"prompt", "with a prompt of ", " tokens"},
	{"prefill", "prefill at ", ""},
	{"decode", "decode at ", ""},
	{"server", "at server ", ""},
	{"score", "with score ", ""},
	{"runner_up", "ahead of ", ""},
	{"runner_up_score", "with score ", ""},
	{"waited_ms", "after waiting ", " ms"},
	{"code", "refused as ", ""},
	{"reason", "because ", ""},
	{"retry_ms", "to come back after ", " ms"},
	{"outcome", "outcome ", ""},
	{"service", "to service ", ""},
	{"writes", "written to ", " servers"},
	{"servers", "namely ", ""},
	{"limit", "under a limit of ", " requests a second that the server names"},
	{"limit_age", "as of ", " ms before"},
	{"limit_issuer", "with a permit of ", ""},
	{"limited", "left out for the limits that they name: ", ""},
	{"parts", "with the shared parts ", ""},
	{"refused_part", "rejected for the part ", ""},
	{"verdict", "which is ", ""},
	{"part_crashes", "after ", " servers ended"},
	{"oldest_crash", "the first ", " ms before"},
	{"newest_crash", "the last ", " ms before"},
	{"change", "", ""},
	{"episodes", "episodes against it: ", ""},
	{"runs", "run by ", " of them"},
	{"reads", "with ", " prompts read apart"},
	{"fetched", "with ", " KV caches fetched"},
	{"hint", "with ", " tokens expected"},
	{"output", "with ", " tokens at most"},
	{"placed", "with a place after ", " ms"},
	{"read", "the prompt read after ", " ms"},
	{"first", "the first event after ", " ms"},
	{"last", "the last event being ", ""},
	{"took", "all in ", " ms"},
	{"error", "because of ", ""},
}

// sentence tells the decision in one line.
func (d decision) sentence() string {
	left := make(map[string]string, len(d.fields))
	for name, value := range d.fields {
		left[name] = value
	}
	var clauses []string
	for _, p := range phrases {
		if value, ok := left[p.field]; ok {
			clauses = append(clauses, p.before+value+p.after)
			delete(left, p.field)
		}
	}
	var names []string
	for name := range left {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		clauses = append(clauses, strings.ReplaceAll(name, "_", " ")+" "+left[name])
	}
	return time.UnixMicro(d.micros).UTC().Format("15:04:05.000000 ") + d.message + ": " + strings.Join(clauses, ", ") + "."
}
