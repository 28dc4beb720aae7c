package command

import (
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/core/domain"
)

// defaultSlots is the default number of execution slots of a task.
const defaultSlots = 1

// resourceFlags returns the flags of a resource vector with the given default
// number of slots.
func resourceFlags(slots int64) []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "cpu-milli", Usage: "processor time in thousandths of a core"},
		&cli.Int64Flag{Name: "memory-mib", Usage: "memory in MiB"},
		&cli.Int64Flag{Name: "accelerators", Usage: "whole accelerators"},
		&cli.Int64Flag{Name: "slots", Usage: "execution slots", Value: slots},
		&cli.Int64Flag{Name: "connections", Usage: "connections"},
	}
}

func resourcesFromFlags(c *cli.Command) domain.Resources {
	return domain.Resources{
		CPUMilli:     c.Int64("cpu-milli"),
		MemoryMiB:    c.Int64("memory-mib"),
		Accelerators: c.Int64("accelerators"),
		Slots:        c.Int64("slots"),
		Connections:  c.Int64("connections"),
	}
}

// dimension is one component of a resource vector.
type dimension struct {
	name  string
	value func(domain.Resources) int64
}

var dimensions = []dimension{
	{"cpu_milli", func(r domain.Resources) int64 { return r.CPUMilli }},
	{"memory_mib", func(r domain.Resources) int64 { return r.MemoryMiB }},
	{"accelerators", func(r domain.Resources) int64 { return r.Accelerators }},
	{"slots", func(r domain.Resources) int64 { return r.Slots }},
	{"connections", func(r domain.Resources) int64 { return r.Connections }},
}

func formatNumber(n int64) string { return strconv.FormatInt(n, 10) }

// formatFraction formats two numbers as "part/total".
func formatFraction(part, total int64) string { return formatNumber(part) + "/" + formatNumber(total) }
