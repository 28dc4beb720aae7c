package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/launch"
	"github.com/basilferry/basilferry/standin/logservice"
	"github.com/basilferry/basilferry/standin/worker"
)

// defaultListen is the default listen address: a free port on the loopback
// interface.
const defaultListen = "127.0.0.1:0"

func (e *Env) standin() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "serve a simulated platform service for tests; prints its address when it is ready",
		Commands: []*cli.Command{
			{Name: "log", Usage: "serve a log service", Flags: logFlags(), Action: action(0, e.runLog)},
			{Name: "vmlist", Usage: "serve a VM list", Flags: vmListFlags(), Action: action(0, e.runVMList)},
			{Name: "worker", Usage: "serve a worker VM", Flags: workerFlags(), Action: action(0, e.runWorker)},
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`IP:PORT` to listen on; port 0 selects a free port", Value: defaultListen}
}

// printAddress prints the listen address on one line.
func (e *Env) printAddress(address string) { fmt.Fprintln(e.Out, address) }

func logFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.DurationFlag{Name: "retention", Usage: "how long records are kept", Value: logservice.DefaultRetention},
		&cli.Float64Flag{Name: "appends-per-second", Usage: "maximum append rate; 0 for no limit"},
		&cli.Uint64Flag{Name: "seed", Usage: "random seed for the selection of lost responses", Value: 1},
	}
}

func (e *Env) runLog(ctx context.Context, c *cli.Command) error {
	return standin.RunLog(ctx, standin.LogOptions{
		Address:          c.String("listen"),
		Retention:        c.Duration("retention"),
		AppendsPerSecond: c.Float64("appends-per-second"),
		Seed:             c.Uint64("seed"),
		Ready:            e.printAddress,
	})
}

func vmListFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.DurationFlag{Name: "lag", Usage: "time until a change becomes visible"},
		&cli.StringSliceFlag{Name: "vm", Usage: "listed VM as `id=ID,domain=DOMAIN,rack=RACK,address=IP:PORT[,state=leaving]`; can be repeated"},
		&cli.StringFlag{Name: "vm-file", Usage: "`FILE` with a JSON array of listed VMs, - for standard input"},
	}
}

func (e *Env) runVMList(ctx context.Context, c *cli.Command) error {
	vms, err := e.vmsFromFlags(c)
	if err != nil {
		return err
	}
	return standin.RunVMList(ctx, standin.VMListOptions{
		Address: c.String("listen"),
		Lag:     c.Duration("lag"),
		VMs:     vms,
		Ready:   e.printAddress,
	})
}

func (e *Env) vmsFromFlags(c *cli.Command) ([]platform.VM, error) {
	var vms []platform.VM
	if path := c.String("vm-file"); path != "" {
		data, err := e.readFile(path)
		if err == nil {
			err = json.Unmarshal(data, &vms)
		}
		if err != nil {
			return nil, usageError("the VM file cannot be read: "+err.Error(), "give a file with a JSON array of VMs")
		}
	}
	for _, text := range c.StringSlice("vm") {
		vm, err := parseVM(text)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	for i := range vms {
		if err := completeVM(&vms[i]); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

func parseVM(text string) (platform.VM, error) {
	var vm platform.VM
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "id":
			vm.ID = domain.WorkerID(value)
		case "domain":
			vm.Domain = domain.FailureDomain(value)
		case "rack":
			vm.Rack = value
		case "address":
			vm.Address = value
		case "state":
			vm.State = platform.VMState(value)
		default:
			return vm, invalidVMError(fmt.Sprintf("--vm %q has the unknown field %q", text, name))
		}
	}
	return vm, nil
}

func completeVM(vm *platform.VM) error {
	if vm.State == "" {
		vm.State = platform.VMLive
	}
	if vm.State != platform.VMLive && vm.State != platform.VMLeaving {
		return invalidVMError(fmt.Sprintf("VM %q has the unknown state %q", vm.ID, vm.State))
	}
	if vm.ID == "" || vm.Domain == "" || vm.Address == "" {
		return invalidVMError(fmt.Sprintf("VM %q lacks an id, a domain or an address", vm.ID))
	}
	return nil
}

func invalidVMError(message string) *domain.Error {
	return usageError(message, "use --vm id=ID,domain=DOMAIN,rack=RACK,address=IP:PORT[,state=leaving]")
}

func workerFlags() []cli.Flag {
	flags := []cli.Flag{
		listenFlag(),
		&cli.StringFlag{Name: "control-listen", Usage: "`IP:PORT` of a second listener for the fault controls; empty for none"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the worker"},
		&cli.StringFlag{Name: "domain", Usage: "failure `DOMAIN` of the worker"},
		&cli.StringFlag{Name: "rack", Usage: "`RACK` of the worker"},
		&cli.Float64Flag{Name: "interference", Usage: "increase of an urgent task's slowdown per share of the CPU that batch tasks use; 0 for none", Value: worker.DefaultInterference},
		&cli.DurationFlag{Name: "usage-interval", Usage: "length of the interval that a usage report covers", Value: worker.DefaultUsageInterval},
		&cli.DurationFlag{Name: "usage-lag", Usage: "time from the end of an interval until its report is available", Value: worker.DefaultUsageLag},
		&cli.BoolFlag{Name: "records-lost", Usage: "start as a replacement for an earlier process of the same VM, whose records are lost"},
	}
	return append(flags, resourceFlags(0)...)
}

func (e *Env) runWorker(ctx context.Context, c *cli.Command) error {
	cfg := worker.Config{
		ID:            domain.WorkerID(c.String("id")),
		Domain:        domain.FailureDomain(c.String("domain")),
		Rack:          c.String("rack"),
		Capacity:      resourcesFromFlags(c),
		Interference:  c.Float64("interference"),
		UsageInterval: c.Duration("usage-interval"),
		UsageLag:      c.Duration("usage-lag"),
		RecordsLost:   c.Bool("records-lost"),
	}
	if cfg.Interference == 0 {
		cfg.Interference = worker.NoInterference
	}
	if err := checkWorker(cfg); err != nil {
		return err
	}
	return standin.RunWorker(ctx, standin.WorkerOptions{
		Address:        c.String("listen"),
		ControlAddress: c.String("control-listen"),
		Worker:         cfg,
		Ready:          e.printAddress,
	})
}

func checkWorker(cfg worker.Config) error {
	if cfg.ID == "" || cfg.Domain == "" {
		return usageError("the worker has no id or domain", "set --id and --domain")
	}
	if cfg.Capacity.HasNegative() || cfg.Capacity.CPUMilli == 0 || cfg.Capacity.MemoryMiB == 0 {
		return usageError("the worker has no capacity", "set --cpu-milli and --memory-mib, and --slots, --connections and --accelerators as needed")
	}
	return nil
}
