package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy"
)

func (e *Env) preset() *cli.Command {
	return &cli.Command{
		Name:  "preset",
		Usage: "list, show and use presets",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the presets and which one is in force", Action: clientAction(0, e.runPresetList)},
			{Name: "show", Usage: "show the built-in values of a preset", ArgsUsage: "NAME", ShellComplete: completePresets, Action: action(1, e.runPresetShow)},
			{Name: "use", Usage: "put a preset in force", ArgsUsage: "NAME", Flags: changeFlags(), ShellComplete: completePresets, Action: clientAction(1, e.runPresetUse)},
		},
	}
}

// presetEntry is one preset in the result of the preset list command.
type presetEntry struct {
	domain.Preset
	InForce bool `json:"in_force"`
}

func (e *Env) runPresetList(ctx context.Context, c *cli.Command, cl *client.Client) error {
	current, err := cl.Configuration(ctx)
	if err != nil {
		return err
	}
	entries := presetEntries(current.Preset)
	return e.show(c, entries, func(w io.Writer) error {
		table := output.Table{Header: []string{"NAME", "IN FORCE", "ISOLATED STARTS", "BATCH SHARE", "URGENT SLOTS", "RETRY BUDGET"}}
		for _, p := range entries {
			table.Add(p.Name, yesNo(p.InForce), string(p.IsolatedStarts), formatDecimal(p.BatchShare), formatNumber(p.UrgentSlots), formatDecimal(p.RetryBudget))
		}
		return table.Write(w)
	})
}

// presetEntries returns the built-in presets. The preset in force has the values
// in force, which can differ from the built-in ones.
func presetEntries(inForce domain.Preset) []presetEntry {
	var entries []presetEntry
	for _, p := range policy.DefaultPresets() {
		entry := presetEntry{Preset: p}
		if p.Name == inForce.Name {
			entry = presetEntry{Preset: inForce, InForce: true}
		}
		entries = append(entries, entry)
	}
	return entries
}

func (e *Env) runPresetShow(_ context.Context, c *cli.Command) error {
	p, err := findPreset(c.Args().First())
	if err != nil {
		return err
	}
	return e.show(c, p, func(w io.Writer) error {
		table := output.Table{}
		addPresetRows(&table, p)
		return table.Write(w)
	})
}

func (e *Env) runPresetUse(ctx context.Context, c *cli.Command, cl *client.Client) error {
	p, err := findPreset(c.Args().First())
	if err != nil {
		return err
	}
	return e.change(ctx, c, cl, configlog.Change{Preset: &p})
}

// completePresets prints the preset names, and then the flags, as shell
// completions.
func completePresets(ctx context.Context, c *cli.Command) {
	if c.Args().Len() == 0 {
		for _, name := range configlog.PresetNames() {
			fmt.Fprintln(c.Root().Writer, name)
		}
	}
	cli.DefaultCompleteWithFlags(ctx, c)
}

func findPreset(name string) (domain.Preset, error) {
	for _, p := range policy.DefaultPresets() {
		if p.Name == name {
			return p, nil
		}
	}
	return domain.Preset{}, usageError(fmt.Sprintf("preset %q does not exist", name), "use "+output.JoinNames(configlog.PresetNames()))
}

func addPresetRows(t *output.Table, p domain.Preset) {
	t.Add("preset", p.Name)
	t.Add("isolated starts", string(p.IsolatedStarts))
	t.Add("batch share", formatDecimal(p.BatchShare))
	t.Add("urgent slots", formatNumber(p.UrgentSlots))
	t.Add("urgent per worker", formatUrgentLimit(p.UrgentPerWorker))
	t.Add("reservation quantile", formatDecimal(p.ReservationQuantile))
	t.Add("throttle slowdown", formatDecimal(p.ThrottleSlowdown))
	t.Add("evict slowdown", formatDecimal(p.EvictSlowdown))
	t.Add("retry budget", formatDecimal(p.RetryBudget))
}

func formatUrgentLimit(n int64) string {
	if n == 0 {
		return "number of slots"
	}
	return formatNumber(n)
}

func formatDecimal(f float64) string { return fmt.Sprintf("%g", f) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
