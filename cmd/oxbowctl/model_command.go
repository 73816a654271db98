package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/control"
)

// maxModelBatch bounds the batches that are worked out, in requests.
const maxModelBatch = 1 << 16

// assumedModel holds processor costs that are assumed, not fitted: operators give
// their own with the flags.
var assumedModel = control.Model{
	Replicas:   3,
	Mbps:       600,
	Latency:    0.9,
	Sync:       5,
	Request:    290,
	Answer:     16,
	CliByte:    0.00002,
	CliFixed:   0.06,
	RepByte:    0.00003,
	RepFixed:   0.12,
	Exec:       0.02,
	RatePerSec: 150,
}

func modelCommand() *cobra.Command {
	m := assumedModel
	var largest int
	var asJSON bool
	c := &cobra.Command{
		Use:     "model",
		Short:   "WND and BSZ from the paper's model",
		Example: "  oxbowctl model --replicas 3 --rate 300 --sync-ms 3",
		Args:    cobra.NoArgs,
		Long: "The model of section 4 of the source paper (LAN case), with the disk's sync added to an instance's\n" +
			"latency. The processor costs are assumptions until you give measured ones. Choose the largest\n" +
			"batch whose fill time and instance time the aims allow; wnd is the window for it.",
	}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := checkModel(m, largest); err != nil {
			return err
		}
		rows := m.Rows(largest)
		return show(cmd, asJSON, rows, func(w io.Writer) { printModel(w, rows) })
	}
	f := c.Flags()
	f.IntVar(&m.Replicas, "replicas", m.Replicas, "voters of a group")
	f.Float64Var(&m.Mbps, "mbps", m.Mbps, "a replica's link")
	f.Float64Var(&m.Latency, "latency-ms", m.Latency, "one way between replicas")
	f.Float64Var(&m.Sync, "sync-ms", m.Sync, "a disk's sync")
	f.Float64Var(&m.Request, "request-bytes", m.Request, "a request as it travels")
	f.Float64Var(&m.RatePerSec, "rate", m.RatePerSec, "requests a second of one shard")
	f.Float64Var(&m.CliFixed, "cli-ms", m.CliFixed, "processor time for a request and its answer")
	f.Float64Var(&m.RepFixed, "rep-ms", m.RepFixed, "processor time for an instance and one replica")
	f.IntVar(&largest, "largest", 256, "largest batch, in requests")
	jsonFlag(c, &asJSON)
	return c
}

func checkModel(m control.Model, largest int) error {
	switch {
	case m.Replicas < 1:
		return fmt.Errorf("--replicas %d: must be at least 1", m.Replicas)
	case m.Mbps <= 0:
		return fmt.Errorf("--mbps %v: must be above 0", m.Mbps)
	case m.Request <= 0:
		return fmt.Errorf("--request-bytes %v: must be above 0", m.Request)
	case m.Latency < 0:
		return fmt.Errorf("--latency-ms %v: must not be below 0", m.Latency)
	case m.Sync < 0:
		return fmt.Errorf("--sync-ms %v: must not be below 0", m.Sync)
	case largest < 1 || largest > maxModelBatch:
		return fmt.Errorf("--largest %d: must be 1 to %d", largest, maxModelBatch)
	}
	return nil
}

func printModel(w io.Writer, rows []control.Row) {
	fmt.Fprintf(w, "%8s %9s %8s %11s %7s %7s %4s %10s\n",
		"requests", "bytes", "fill_ms", "instance_ms", "w_cpu", "w_net", "wnd", "max_per_s")
	for _, r := range rows {
		fmt.Fprintf(w, "%8d %9.0f %8.1f %11.2f %7.1f %7.1f %4d %10.0f\n",
			r.Requests, r.Bytes, r.Fill, r.Instance, r.WndCPU, r.WndNet, r.Wnd, r.PerSecond)
	}
}
