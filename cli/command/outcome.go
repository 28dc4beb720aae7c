package command

import (
	"encoding/base64"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/node/httpapi"
)

// showOutcome writes an outcome, whatever its state.
func (e *Env) showOutcome(c *cli.Command, o httpapi.OutcomeResponse) error {
	return e.show(c, o, func(w io.Writer) error {
		table := output.Table{}
		table.Add("id", o.RequestID)
		table.Add("state", string(o.State))
		if o.Worker != "" {
			table.Add("worker", string(o.Worker))
		}
		if o.Attempt > 0 {
			table.Add("attempt", strconv.Itoa(o.Attempt))
		}
		if o.Volatile {
			table.Add("volatile", "yes, the log does not have the task yet")
		}
		if o.Answer != nil {
			table.Add(answerRow(o.Answer)...)
		}
		return table.Write(w)
	})
}

// answerRow returns the table row for the answer of a task: as text if it is valid
// UTF-8, otherwise in base64.
func answerRow(answer []byte) []string {
	if utf8.Valid(answer) {
		return []string{"answer", string(answer)}
	}
	return []string{"answer (base64)", base64.StdEncoding.EncodeToString(answer)}
}
