// Command oxbowdeck is the data plane: edges serve clients, stores hold the topics
// and messages.
package main

import (
	"context"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/edge"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/httpedge"
	"oxbowdeck/internal/inspect"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/store"
)

func main() { process.Main(newRoot()) }

func newRoot() *cobra.Command {
	root := process.Root("oxbowdeck", "the data plane of oxbowdeck")
	topicBounds := store.Bounds(&settings.Settings{ResendS: 10})
	reportFor := store.Report(&settings.Settings{ReportS: 120})
	root.AddCommand(
		process.Command("oxbowdeck", "edge", "serve clients", startEdge),
		process.Command("oxbowdeck", "store", "hold replicas of the topics and messages", startStore),
		process.CheckCommand("oxbowdeck"),
		worker(),
		inspect.Command(topicBounds, reportFor),
	)
	return root
}

func startEdge(_ context.Context, set *settings.Settings) (process.Daemon, error) {
	if set.Front == "" {
		return nil, errs.Errorf("settings", set.Name, "listen_addrs.front is needed: where clients connect")
	}
	if set.Ready == "" {
		return nil, errs.Errorf("settings", set.Name, "listen_addrs.readiness is needed: where readiness is asked for")
	}
	if set.Kind == settings.Queue {
		return httpedge.Start(set)
	}
	return edge.Start(set)
}

func startStore(ctx context.Context, set *settings.Settings) (process.Daemon, error) {
	if set.DataDir == "" {
		return nil, errs.Errorf("settings", set.Name, "data_dir is needed: a folder for the replicas")
	}
	return store.Start(ctx, set)
}
