package command

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"time"
	"unicode/utf8"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

// maxUnknownTime is how long the outcome of a task that is waited for may be
// unknown, or no node answer, before the wait ends. A shard that changes its
// owner is back within seconds.
const maxUnknownTime = time.Minute

func (e *Env) submit() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "kind", Usage: "urgent, batch or watch"},
		&cli.StringFlag{Name: "class", Usage: "`CLASS` of tasks with similar resource use"},
		&cli.StringFlag{Name: "team", Usage: "`TEAM` that submits the work"},
		&cli.DurationFlag{Name: "deadline", Usage: "bounds the answer of an urgent request, for example 900ms"},
		&cli.BoolFlag{Name: "idempotent", Usage: "a repeat of the task does no harm"},
		&cli.StringFlag{Name: "payload", Usage: "`TEXT` for the task"},
		&cli.StringFlag{Name: "payload-file", Usage: "`FILE` with the payload, - for standard input"},
		&cli.StringFlag{Name: "key", Usage: "`KEY` that names the request, so that it can be sent again"},
		&cli.StringFlag{Name: "id", Usage: "`ID` drawn with basilferry ids, so that the request can be sent again"},
		&cli.BoolFlag{Name: "wait", Usage: "wait for the end of a batch task"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "bounds --wait; 0 for no bound"},
	}
	return &cli.Command{
		Name:   "submit",
		Usage:  "submit a request; an urgent one is answered with its outcome",
		Flags:  append(flags, resourceFlags(defaultSlots)...),
		Action: clientAction(0, e.runSubmit),
	}
}

func (e *Env) runSubmit(ctx context.Context, c *cli.Command, cl *client.Client) error {
	name, err := requestName(c)
	if err != nil {
		return err
	}
	body, err := e.submitBody(c)
	if err != nil {
		return err
	}
	o, err := cl.Submit(ctx, name, body)
	if err != nil {
		return withRemedy(err, name)
	}
	if c.Bool("wait") && !o.State.Final() {
		o, err = e.waitUntilFinal(ctx, c, cl, o)
		if err != nil {
			return err
		}
	}
	if err := e.showOutcome(c, o); err != nil {
		return err
	}
	if c.Bool("wait") && !o.State.Final() && o.State != domain.OutcomeUnknown {
		return waitTimeoutError(o.RequestID)
	}
	return outcomeError(o)
}

func waitTimeoutError(id string) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindOutcomeUnknown,
		Message:   "the task has not ended within the wait",
		Remedy:    "run basilferry get " + id + " later",
		RequestID: id,
	}
}

func requestName(c *cli.Command) (client.RequestName, error) {
	name := client.RequestName{Key: c.String("key")}
	if !c.IsSet("id") {
		return name, nil
	}
	if name.Key != "" {
		return name, usageError("--key and --id are both set", "set one of them")
	}
	id, err := domain.ParseRequestID(c.String("id"))
	name.ID = id
	return name, err
}

// submitBody returns the body of the flags. The check here spares the call and
// names the flags' values; the node checks again.
func (e *Env) submitBody(c *cli.Command) (httpapi.SubmitBody, error) {
	body := httpapi.SubmitBody{
		Kind:       domain.Kind(c.String("kind")),
		Class:      domain.Class(c.String("class")),
		Team:       domain.Team(c.String("team")),
		DeadlineMS: c.Duration("deadline").Milliseconds(),
		Resources:  resourcesFromFlags(c),
		Idempotent: c.Bool("idempotent"),
	}
	payload, err := e.payload(c)
	if err != nil {
		return body, err
	}
	task := domain.Task{
		Kind:      body.Kind,
		Class:     body.Class,
		Team:      body.Team,
		Resources: body.Resources,
		Deadline:  time.Duration(body.DeadlineMS) * time.Millisecond,
		Payload:   payload,
	}
	setPayload(&body, payload)
	return body, task.Validate()
}

func setPayload(body *httpapi.SubmitBody, payload []byte) {
	switch {
	case payload == nil:
	case utf8.Valid(payload):
		text := string(payload)
		body.Payload = &text
	default:
		text := base64.StdEncoding.EncodeToString(payload)
		body.PayloadBase64 = &text
	}
}

func (e *Env) payload(c *cli.Command) ([]byte, error) {
	if c.IsSet("payload") && c.IsSet("payload-file") {
		return nil, usageError("--payload and --payload-file are both set", "set one of them")
	}
	if c.IsSet("payload") {
		return []byte(c.String("payload")), nil
	}
	if !c.IsSet("payload-file") {
		return nil, nil
	}
	data, err := e.readFile(c.String("payload-file"))
	if err != nil {
		return nil, usageError("the payload cannot be read: "+err.Error(), "name a readable file with --payload-file, or - for standard input")
	}
	return data, nil
}

// readFile reads a file, or standard input for "-".
func (e *Env) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(e.In)
	}
	return os.ReadFile(path)
}

// withRemedy names the command that tells what became of a request.
func withRemedy(err error, n client.RequestName) error {
	if domain.KindOf(err) != domain.KindOutcomeUnknown {
		return err
	}
	told := *domain.AsError(err)
	switch {
	case !n.ID.IsZero():
		told.RequestID = n.ID.String()
		told.Remedy = "run basilferry get " + told.RequestID
	case n.Key != "":
		told.Remedy = "submit the same request again with the same --key; it runs at most once"
	case told.RequestID != "":
		told.Remedy = "run basilferry get " + told.RequestID
	default:
		told.Remedy = "check the effect of the task before you submit it again; with --key or --id it could be sent again safely"
	}
	return &told
}

// waitUntilFinal polls until the outcome is final.
func (e *Env) waitUntilFinal(ctx context.Context, c *cli.Command, cl *client.Client, o httpapi.OutcomeResponse) (httpapi.OutcomeResponse, error) {
	if limit := c.Duration("wait-timeout"); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	progress := output.StartProgress(e.Err, e.ProgressInterval, progressText(o))
	defer progress.Stop()
	last, known := o, time.Now()
	for !last.State.Final() && client.Sleep(ctx, e.PollInterval) {
		next, err := cl.Lookup(ctx, o.ID)
		if err == nil && next.State != domain.OutcomeUnknown {
			last, known = next, time.Now()
			progress.SetText(progressText(last))
			continue
		}
		if isUsageError(err) {
			return last, err
		}
		if time.Since(known) > maxUnknownTime {
			return last, unknownOutcomeError(o.RequestID)
		}
	}
	return last, nil
}

// isUsageError reports whether asking again cannot help.
func isUsageError(err error) bool { return err != nil && exitCode(err) == ExitUsage }

func progressText(o httpapi.OutcomeResponse) string {
	return fmt.Sprintf("waiting for %s: %s", o.RequestID, o.State)
}

func unknownOutcomeError(id string) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindOutcomeUnknown,
		Message:   "the outcome has been unknown for " + maxUnknownTime.String(),
		Remedy:    "run basilferry get " + id + " later",
		RequestID: id,
	}
}
