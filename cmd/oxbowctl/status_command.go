package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlhttp"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/process"
)

const (
	statusTimeout = 3 * time.Second
	maxStatus     = 4 << 20 // bytes
)

func statusCommand() *cobra.Command {
	var asJSON bool
	var tenant string
	c := &cobra.Command{
		Use:   "status URL",
		Short: "what a running control process sees",
		Example: "  oxbowctl status http://127.0.8.1:21800\n" +
			"  oxbowctl status http://127.0.8.1:21800 --tenant acme    # who counts it, and its limit",
		Args: process.OneArgument("URL", "a control process, http://ADDRESS:PORT"),
	}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		status, err := fetchStatus(args[0], tenant)
		if err != nil {
			return err
		}
		return show(cmd, asJSON, status, func(w io.Writer) {
			if tenant != "" {
				fmt.Fprintln(w, contact(status))
				printTenants(w, status)
				return
			}
			printStatus(w, status)
			printTenants(w, status)
			printTenantsLeftOut(w, status)
		})
	}
	c.Flags().StringVar(&tenant, "tenant", "", "show one tenant, by its label")
	jsonFlag(c, &asJSON)
	return c
}

func fetchStatus(address, tenant string) (s control.Status, err error) {
	if !strings.HasPrefix(address, "http://") {
		return s, fmt.Errorf("argument URL: %q does not begin with http://", address)
	}
	call := strings.TrimSuffix(address, "/") + "/v1/status"
	if tenant != "" {
		call += "?" + url.Values{controlhttp.TenantQuery: {tenant}}.Encode()
	}
	client := http.Client{Timeout: statusTimeout}
	r, err := client.Get(call)
	if err != nil {
		return s, errs.Wrap("status", address, err)
	}
	defer r.Body.Close()
	body := json.NewDecoder(io.LimitReader(r.Body, maxStatus))
	if r.StatusCode != http.StatusOK {
		return s, errs.Wrap("status", address, refusal(r.Status, body))
	}
	err = body.Decode(&s)
	return s, errs.Wrap("status", address, err)
}

// refusal gives the error that a control process answered.
func refusal(status string, body *json.Decoder) error {
	var answer struct {
		Error string `json:"error_text"`
	}
	if err := body.Decode(&answer); err != nil || answer.Error == "" {
		return errors.New(status)
	}
	return errors.New(answer.Error)
}

func printStatus(w io.Writer, s control.Status) {
	fmt.Fprintf(w, "%s: release %d; control leader %s, epoch %d, decided to %d, voters %v\n",
		s.Node, s.Release, s.Leader, s.Epoch, s.Commit, s.Voters)
	fmt.Fprintln(w, contact(s))
	if s.Shortfall != "" {
		fmt.Fprintf(w, "missing: %s\n", s.Shortfall)
	}
	for _, m := range s.Members {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		fmt.Fprintf(w, "%-7s %-24s %d behind, heard %d ms ago\n", kind, m.Addr, m.Behind, m.HeardMs)
	}
	for i, shard := range s.Shards {
		fmt.Fprintf(w, "shard %d: voters %s; in force %s by epoch %d; following %s\n",
			i, names(shard.Voters), names(shard.Members), shard.Epoch.Round(), names(shard.Learners))
	}
	for _, n := range s.Nodes {
		state := "live"
		if n.Gone {
			state = "gone"
		}
		fmt.Fprintf(w, "%-5s %-5s %-20s %-24s %s\n", state, n.Role, n.Zone, n.Name, n.Addr)
	}
}

// contact says how far what a control process shows can be relied on.
func contact(s control.Status) string {
	switch {
	case s.ContactMs < 0:
		return "it has not been in touch with a majority since it began or last led: all of this may be old"
	case s.ContactMs > s.LeaseMs:
		return fmt.Sprintf("last in touch with a majority %d ms ago, its lease of %d ms is over: "+
			"all of this may be old, and it answers nothing from it", s.ContactMs, s.LeaseMs)
	case len(s.Members) == 0:
		return fmt.Sprintf("in touch with a majority %d ms ago, lease %d ms; "+
			"it does not lead and can't tell how far the others are", s.ContactMs, s.LeaseMs)
	}
	return fmt.Sprintf("it leads, in touch with a majority %d ms ago, lease %d ms", s.ContactMs, s.LeaseMs)
}
