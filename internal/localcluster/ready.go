package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/errs"
)

const (
	pollInterval = 100 * time.Millisecond
	callTimeout  = time.Second
	maxAnswer    = 4 << 20 // bytes read of an answer
)

// answer is what a process answered to an HTTP call.
type answer struct {
	status int
	body   []byte
}

// makeReady brings a started deployment to where clients are served.
func (c *cluster) makeReady(ctx context.Context) error {
	for _, address := range c.controlAddresses() {
		if err := poll(ctx, "control has a leader", address, hasLeader); err != nil {
			return err
		}
	}
	if c.options.Plan.Queue {
		if err := poll(ctx, "the worker is registered", c.controlAddresses()[0], hasWorker); err != nil {
			return err
		}
	}
	if !c.options.Configure {
		return nil
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	for _, x := range c.processes {
		if x.Ready == "" {
			continue
		}
		if err := poll(ctx, "the edge is ready", x.Ready, isReady); err != nil {
			return err
		}
	}
	return nil
}

// configure gives the sample configuration to a deployment that has none.
func (c *cluster) configure(ctx context.Context) error {
	url := "http://" + c.controlAddresses()[0] + "/v1/configuration"
	var found answer
	err := poll(ctx, "the configuration is read", url, func(ctx context.Context, url string) (bool, error) {
		var err error
		found, err = sendRequest(ctx, http.MethodGet, url, nil)
		return err == nil && found.status != http.StatusServiceUnavailable, nil
	})
	if err != nil {
		return err
	}
	if found.status == http.StatusOK {
		c.say("keeps the configuration it has")
		return nil
	}
	return poll(ctx, "the configuration is taken", url, c.putConfiguration)
}

// putConfiguration tells whether the sample configuration was taken, or another one
// that an operator gave first.
func (c *cluster) putConfiguration(ctx context.Context, url string) (bool, error) {
	result, err := sendRequest(ctx, http.MethodPut, url, c.options.Plan.SampleConfiguration())
	if err != nil {
		return false, nil // no answer: it may have been taken, and is then answered alike
	}
	switch result.status {
	case http.StatusOK:
		c.say("configured with %s", c.options.Plan.ConfigurationPath())
		return true, nil
	case http.StatusPreconditionFailed:
		c.say("keeps the configuration it has")
		return true, nil
	case http.StatusServiceUnavailable:
		return false, nil
	}
	return false, fmt.Errorf("refused with %d: %s", result.status, result.body)
}

func hasLeader(ctx context.Context, address string) (bool, error) {
	status, ok := readStatus(ctx, address)
	return ok && status.Leader != "" && status.ContactMs >= 0, nil
}

func hasWorker(ctx context.Context, address string) (bool, error) {
	status, ok := readStatus(ctx, address)
	return ok && len(status.Workers) > 0, nil
}

func isReady(ctx context.Context, address string) (bool, error) {
	result, err := sendRequest(ctx, http.MethodGet, "http://"+address+"/v1/readiness", nil)
	return err == nil && result.status == http.StatusOK, nil
}

func readStatus(ctx context.Context, address string) (control.Status, bool) {
	var status control.Status
	result, err := sendRequest(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil || result.status != http.StatusOK {
		return status, false
	}
	err = json.Unmarshal(result.body, &status)
	return status, err == nil
}

// poll asks until the answer is yes, an error, or the context ends.
func poll(ctx context.Context, what, address string, ask func(context.Context, string) (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, err := ask(ctx, address)
		if done || err != nil {
			return errs.Wrap("wait until "+what, address, err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errs.Wrap("wait until "+what, address, ctx.Err())
		}
	}
}

// sendRequest makes one HTTP call; a configuration is put as the first one.
func sendRequest(ctx context.Context, method, url string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if method == http.MethodPut {
		request.Header.Set("If-Match", "0")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return answer{status: response.StatusCode, body: text}, err
}
