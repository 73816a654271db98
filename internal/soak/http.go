package soak

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	callTimeout = time.Second
	maxAnswer   = 4 << 20
)

// httpClient makes a connection for each call: troubles are to hit some of them.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxIdleConns: 4}}

// reply is what a call was answered; status 0: nothing came that is whole.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) has(text string) bool { return strings.Contains(string(r.body), text) }

// call makes one call.
func call(method, url string, header map[string]string, body []byte) reply {
	return callFor(callTimeout, method, url, header, body)
}

// callFor makes one call and waits for its answer for so long.
func callFor(timeout time.Duration, method, url string, header map[string]string, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return reply{err: err}
	}
	return reply{status: response.StatusCode, header: response.Header, body: text}
}
