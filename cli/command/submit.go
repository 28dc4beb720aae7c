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

// maxUnknownTime is the maximum time for which submit --wait keeps waiting while
// the outcome is unknown or no node responds. It is much longer than a change of
// the shard's owner, which takes seconds.
const maxUnknownTime = time.Minute

func (e *Env) submit() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "kind", Usage: "urgent, batch or watch"},
		&cli.StringFlag{Name: "class", Usage: "`CLASS` of tasks with similar resource use"},
		&cli.StringFlag{Name: "team", Usage: "`TEAM` that submits the work"},
		&cli.DurationFlag{Name: "deadline", Usage: "maximum time until an urgent request is answered, for example 900ms"},
		&cli.BoolFlag{Name: "idempotent", Usage: "the task can safely run more than once"},
		&cli.StringFlag{Name: "payload", Usage: "payload of the task as `TEXT`"},
		&cli.StringFlag{Name: "payload-file", Usage: "`FILE` with the payload, - for standard input"},
		&cli.StringFlag{Name: "key", Usage: "idempotency `KEY` of the request, so that it can be resent safely"},
		&cli.StringFlag{Name: "id", Usage: "`ID` reserved with basilferry ids, so that the request can be resent safely"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until a batch task is finished"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "maximum time for --wait; 0 for no limit"},
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
		Message:   "the task did not finish during the wait",
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

// submitBody returns the request body for the flags. It validates the values, so
// that an invalid request fails without a call. The node validates them again.
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
		return nil, usageError("the payload cannot be read: "+err.Error(), "give a readable file with --payload-file, or - for standard input")
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

// withRemedy replaces the remedy of an error of kind KindOutcomeUnknown: the new
// remedy says how to find out the outcome. It returns any other error unchanged.
func withRemedy(err error, name client.RequestName) error {
	if domain.KindOf(err) != domain.KindOutcomeUnknown {
		return err
	}
	result := *domain.AsError(err)
	switch {
	case !name.ID.IsZero():
		result.RequestID = name.ID.String()
		result.Remedy = "run basilferry get " + result.RequestID
	case name.Key != "":
		result.Remedy = "submit the same request again with the same --key; it runs at most once"
	case result.RequestID != "":
		result.Remedy = "run basilferry get " + result.RequestID
	default:
		result.Remedy = "check whether the task has run before you submit it again; use --key or --id for requests that can be resent safely"
	}
	return &result
}

// waitUntilFinal polls until the outcome is final, --wait-timeout has passed or ctx
// is done, and returns the last known outcome. It returns an error if the request
// is invalid or the outcome has been unknown for longer than maxUnknownTime.
func (e *Env) waitUntilFinal(ctx context.Context, c *cli.Command, cl *client.Client, o httpapi.OutcomeResponse) (httpapi.OutcomeResponse, error) {
	if limit := c.Duration("wait-timeout"); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	progress := output.StartProgress(e.Err, e.ProgressInterval, progressText(o))
	defer progress.Stop()
	last, lastKnown := o, time.Now()
	for !last.State.Final() && client.Sleep(ctx, e.PollInterval) {
		next, err := cl.Lookup(ctx, o.ID)
		if err == nil && next.State != domain.OutcomeUnknown {
			last, lastKnown = next, time.Now()
			progress.SetText(progressText(last))
			continue
		}
		if isUsageError(err) {
			return last, err
		}
		if time.Since(lastKnown) > maxUnknownTime {
			return last, unknownOutcomeError(o.RequestID)
		}
	}
	return last, nil
}

// isUsageError reports whether the request is invalid, so that repeating the call
// cannot succeed.
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
