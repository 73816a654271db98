package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/process"
	"oxbowdeck/internal/testworker"
)

// worker runs a stand-in for one of a service's workers.
func worker() *cobra.Command {
	w := &testworker.Worker{ID: fmt.Sprintf("i-%x", rand.Uint64()), Heartbeat: time.Second}
	var stopWithStdin bool
	c := &cobra.Command{
		Use:     "worker",
		Short:   "a stand-in worker, to try a queue with",
		Example: "  oxbowdeck worker --service stock --control 127.0.8.1:21830",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkWorker(w); err != nil {
				return err
			}
			w.Ran = func(id, key string, body []byte) {
				fmt.Fprintf(cmd.OutOrStdout(), "message=%s key=%q bytes=%d\n", id, key, len(body))
			}
			return runWorker(w, stopWithStdin)
		},
	}
	f := c.Flags()
	f.StringVar(&w.ID, "id", w.ID, "id of this incarnation of the worker")
	f.StringVar(&w.Service, "service", "", "whose worker it is (service_ref)")
	f.StringVar(&w.Zone, "zone", "zone-1", "the zone it says it is in")
	f.StringVar(&w.Addr, "listen", "127.0.0.1:0", "address to listen on")
	f.StringSliceVar(&w.Control, "control", nil, "control addresses, tried in turn")
	f.IntVar(&w.Slots, "slots", 4, "messages at a time")
	f.DurationVar(&w.Work, "work", 20*time.Millisecond, "how long a message takes")
	f.Float64Var(&w.Fail, "fail", 0, "share of runs that fail")
	process.StopWithStdinFlag(c, &stopWithStdin)
	return c
}

func checkWorker(w *testworker.Worker) error {
	switch {
	case w.Service == "":
		return errors.New("--service NAME is needed: the service_ref whose messages it takes")
	case len(w.Control) == 0:
		return errors.New("--control ADDRESS is needed: where it registers")
	case w.Slots < 1:
		return fmt.Errorf("--slots %d: must be at least 1", w.Slots)
	case w.Fail < 0 || w.Fail > 1:
		return fmt.Errorf("--fail %v: must be 0 to 1", w.Fail)
	}
	return nil
}

// runWorker serves until the process is told to end.
func runWorker(w *testworker.Worker, stopWithStdin bool) error {
	ctx, stop := process.TerminationContext(context.Background())
	defer stop()
	if stopWithStdin {
		var cancel context.CancelFunc
		ctx, cancel = process.StopWithStdin(ctx)
		defer cancel()
	}
	if err := w.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	w.Leave(2 * w.Heartbeat)
	return nil
}
