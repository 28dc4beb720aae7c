package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/core/domain"
)

// maxTraceLineBytes is the maximum length of a log line.
const maxTraceLineBytes = 1 << 20

func (e *Env) trace() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of all nodes about one job, sorted by time",
		ArgsUsage: "JOB",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "log file of a node; repeat the flag for each node, or omit it to read standard input"},
		},
		Action: action(1, e.runTrace),
	}
}

// traceLine is one line of a node's log, formatted for output.
type traceLine struct {
	at   time.Time
	text string
	// message, task, reason and attempt are those of a decision; empty and 0 in other lines.
	message, task, reason string
	attempt               int
}

func (e *Env) runTrace(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	var lines []traceLine
	files := c.StringSlice("log")
	if len(files) == 0 {
		found, err := readTraceLines(e.In, id)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range files {
		found, err := readTraceFile(name, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return &domain.Error{
			Kind: domain.KindNotFound, Message: "no log line contains job " + id,
			Remedy: "check the id, and give the logs of all nodes for the time of the job",
		}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(e.Out, l.text); err != nil {
			return err
		}
	}
	return writeStages(e.Out, lines)
}

func readTraceFile(name, id string) ([]traceLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, &domain.Error{Kind: domain.KindNotFound, Message: err.Error(), Remedy: "give a readable log file"}
	}
	defer file.Close()
	return readTraceLines(file, id)
}

// readTraceLines reads the lines that contain the id. It drops text before the
// JSON object of a line, which a log collector may add, and skips lines without
// JSON.
func readTraceLines(r io.Reader, id string) ([]traceLine, error) {
	var out []traceLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxTraceLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		if line, ok := parseTraceLine(text[start:]); ok {
			out = append(out, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

// parseTraceLine formats one line as time, node, part and message, followed by
// the other fields sorted by name, without level and job. It returns false if the
// line is not a JSON log record with a time.
func parseTraceLine(text string) (traceLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return traceLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		return traceLine{}, false
	}
	line := traceLine{at: at, message: fmt.Sprint(fields["msg"])}
	line.task, _ = fields["task"].(string)
	line.reason, _ = fields["reason"].(string)
	if attempt, ok := fields["run"].(float64); ok {
		line.attempt = int(attempt)
	}
	head := fmt.Sprintf("%s %v %v: %v", at.Format("15:04:05.000"), fields["node"], fields["part"], fields["msg"])
	for _, name := range []string{"time", "level", "node", "part", "msg", "job"} {
		delete(fields, name)
	}
	var rest []string
	for name, value := range fields {
		rest = append(rest, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(rest)
	line.text = strings.TrimSpace(head + " " + strings.Join(rest, " "))
	return line, true
}
