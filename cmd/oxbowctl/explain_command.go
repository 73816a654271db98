package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/requestlog"
)

const (
	recordsTimeout  = 5 * time.Second
	maxRecordsBytes = 64 << 20
)

// explainCommand puts what processes remember of one request together.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST FILE|URL...",
		Short: "tell what became of one request, from the records of the processes it went through",
		Long: "REQUEST is CLIENT/NUMBER of a publish, the id or name of a message, or configuration/RELEASE. Records are\n" +
			"files that processes write at SIGUSR1 and when an invariant is violated, or addresses of processes where\n" +
			"metrics are on.",
		Example: "  oxbowctl explain ann/17 /tmp/oxbowdeck-requests-*.jsonl\n" +
			"  oxbowctl explain m-31f2 http://127.0.8.151:21802 /tmp/oxbowdeck-requests-store-zone-1.jsonl",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []requestlog.Record
			for _, source := range args[1:] {
				records, err := readRecords(source)
				if err != nil {
					return errs.Wrap("read records", source, err)
				}
				all = append(all, records...)
			}
			about := requestlog.About(args[0], all)
			if len(about) == 0 {
				return fmt.Errorf("none of %d records is about %q: it went elsewhere, or is too long ago", len(all), args[0])
			}
			requestlog.Explain(cmd.OutOrStdout(), about)
			return nil
		},
	}
}

// readRecords reads the records of a file, or of a process at an address.
func readRecords(source string) ([]requestlog.Record, error) {
	if !strings.Contains(source, "://") {
		file, err := os.Open(source)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		return requestlog.Read(file)
	}
	client := http.Client{Timeout: recordsTimeout}
	response, err := client.Get(strings.TrimSuffix(source, "/") + requestlog.Path)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %s: are metrics on there?", response.Status)
	}
	return requestlog.Read(io.LimitReader(response.Body, maxRecordsBytes))
}
